#include "radishmoor/ops/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <mutex>
#include <span>
#include <streambuf>
#include <vector>

namespace radishmoor {
namespace {

namespace json = boost::json;
namespace log = boost::log;

using Sink = log::sinks::synchronous_sink<log::sinks::text_ostream_backend>;

// Greater than every level, so that nothing is written before StartLog().
constexpr int kLogDisabled = 100;
std::atomic<int> min_level{kLogDisabled};

constexpr const char* kLevelNames[] = {"debug", "info", "warning", "error"};

std::string UtcNow() {
  auto now = boost::posix_time::microsec_clock::universal_time();
  std::string text = boost::posix_time::to_iso_extended_string(now);
  // Boost leaves out the fraction if it is 0.
  if (text.size() == 19)
    text += ".000000";
  return text + "Z";
}

json::value ToJson(const LogField& field) {
  return std::visit([](const auto& v) { return json::value(v); },
                    field.value());
}

bool IsPlain(std::string_view text) {
  if (text.empty())
    return false;
  for (unsigned char c : text) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
      return false;
  }
  return true;
}

// Text with a space, '=', a quote, a backslash or a control character is quoted
// as in JSON, so that a value never starts a new line or a new key.
std::string KeyValueText(const LogField& field) {
  const auto* text = std::get_if<std::string>(&field.value());
  if (text != nullptr && IsPlain(*text))
    return *text;
  return json::serialize(ToJson(field));
}

std::string KeyValueLine(LogLevel level,
                         std::string_view event,
                         std::span<const LogField> fields) {
  std::string line = "time=" + UtcNow() +
                     " level=" + kLevelNames[static_cast<int>(level)] +
                     " event=" + std::string(event);
  for (const LogField& field : fields)
    line += " " + field.key() + "=" + KeyValueText(field);
  return line;
}

std::string JsonLine(LogLevel level,
                     std::string_view event,
                     std::span<const LogField> fields) {
  json::object line{{"time", UtcNow()},
                    {"level", kLevelNames[static_cast<int>(level)]},
                    {"event", event}};
  for (const LogField& field : fields)
    line[field.key()] = ToJson(field);
  return json::serialize(line);
}

std::atomic<LogFormat> line_format{LogFormat::kKeyValue};

// Holds lines until Flush(). Drops a line entirely if it does not fit.
class LineBuffer : public std::streambuf {
 public:
  static constexpr size_t kMaxBytes = 512 * 1024;

  // Writes as much as the non-blocking `descriptor` takes and keeps the rest.
  void Flush(int descriptor) {
    size_t written = 0;
    while (written < bytes_.size()) {
      ssize_t n =
          ::write(descriptor, bytes_.data() + written, bytes_.size() - written);
      if (n <= 0)
        break;
      written += static_cast<size_t>(n);
    }
    bytes_.erase(0, written);
  }

  uint64_t dropped() const { return dropped_; }

 protected:
  std::streamsize xsputn(const char* text, std::streamsize size) override {
    // The log backend writes the text of a line and then, separately, "\n".
    bool line_end = size == 1 && *text == '\n';
    if (line_end && dropping_) {
      dropping_ = false;
      return size;
    }
    if (!line_end && bytes_.size() + static_cast<size_t>(size) > kMaxBytes) {
      dropping_ = true;
      ++dropped_;
      return size;
    }
    bytes_.append(text, static_cast<size_t>(size));
    return size;
  }

  int_type overflow(int_type c) override {
    char byte = traits_type::to_char_type(c);
    xsputn(&byte, 1);
    return c;
  }

 private:
  std::string bytes_;
  uint64_t dropped_ = 0;
  bool dropping_ = false;
};

LineBuffer& StdoutBuffer() {
  static LineBuffer lines;
  return lines;
}

std::mutex& SinkMutex() {
  static std::mutex mutex;
  return mutex;
}

boost::shared_ptr<Sink>& CurrentSink() {
  static boost::shared_ptr<Sink> sink;
  return sink;
}

}  // namespace

void StartLog(const LogOptions& options) {
  auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
  if (options.stream) {
    // The copy of the shared pointer in the deleter keeps the stream alive.
    backend->add_stream(boost::shared_ptr<std::ostream>(
        options.stream.get(), [keep = options.stream](std::ostream*) {}));
  } else {
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  }
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  std::lock_guard lock(SinkMutex());
  if (CurrentSink())
    log::core::get()->remove_sink(CurrentSink());
  CurrentSink() = sink;
  log::core::get()->add_sink(sink);
  line_format = options.format;
  min_level = static_cast<int>(options.level);
}

void StartBufferedLog(const LogOptions& options) {
  int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  LogOptions buffered = options;
  buffered.stream = std::make_shared<std::ostream>(&StdoutBuffer());
  StartLog(buffered);
}

void FlushLog() {
  StdoutBuffer().Flush(STDOUT_FILENO);
}

uint64_t DroppedLogLines() {
  return StdoutBuffer().dropped();
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  LogFields(level, event, {fields.begin(), fields.size()});
}

void LogFields(LogLevel level,
               std::string_view event,
               std::span<const LogField> fields) {
  if (static_cast<int>(level) < min_level.load(std::memory_order_relaxed))
    return;
  log::sources::logger_mt logger;
  auto record = logger.open_record();
  if (!record)
    return;
  log::record_ostream stream(record);
  stream << (line_format == LogFormat::kJson
                 ? JsonLine(level, event, fields)
                 : KeyValueLine(level, event, fields));
  stream.flush();
  logger.push_record(std::move(record));
}

}  // namespace radishmoor
