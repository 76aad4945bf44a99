#include "radishmoor/ops/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <map>
#include <mutex>
#include <stdexcept>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

namespace histogram = boost::histogram;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
// Atomic counts, so that threads can record values at the same time.
using Storage =
    histogram::dense_storage<histogram::accumulators::count<uint64_t, true>>;
using BucketCounts = histogram::histogram<std::tuple<Axis>, Storage>;

enum class Kind : uint8_t { kCounter, kGauge, kHistogram };

constexpr const char* kKindNames[] = {"counter", "gauge", "histogram"};

bool IsMetricName(std::string_view name) {
  if (name.empty() || std::isdigit(static_cast<unsigned char>(name[0])) != 0)
    return false;
  for (unsigned char c : name) {
    if (std::isalnum(c) == 0 && c != '_')
      return false;
  }
  return true;
}

std::string FormatNumber(double value) {
  if (std::isnan(value))
    return "NaN";
  if (std::isinf(value))
    return value > 0 ? "+Inf" : "-Inf";
  char buffer[32];
  auto result = std::to_chars(buffer, buffer + sizeof(buffer), value);
  return std::string(buffer, result.ptr);
}

// Formats a bucket bound. Six digits are enough to tell bounds apart.
std::string FormatBound(double value) {
  char buffer[32];
  auto result = std::to_chars(buffer, buffer + sizeof(buffer), value,
                              std::chars_format::general, 6);
  return std::string(buffer, result.ptr);
}

std::string Escaped(std::string_view text, bool quotes) {
  std::string result;
  for (char c : text) {
    if (c == '\\') {
      result += "\\\\";
    } else if (c == '\n') {
      result += "\\n";
    } else if (c == '"' && quotes) {
      result += "\\\"";
    } else {
      result += c;
    }
  }
  return result;
}

// Returns the labels in the form `a="1",b="2"`, without braces.
std::string LabelText(const Labels& labels) {
  std::string result;
  for (const auto& [name, value] : labels) {
    if (!result.empty())
      result += ",";
    result += name + "=\"" + Escaped(value, true) + "\"";
  }
  return result;
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

std::string Header(const std::string& name,
                   std::string_view help,
                   const char* kind) {
  return "# HELP " + name + " " + Escaped(help, false) + "\n# TYPE " + name +
         " " + kind + "\n";
}

std::string SampleLine(const std::string& name,
                       const std::string& labels,
                       const std::string& value) {
  return name + Braced(labels) + " " + value + "\n";
}

}  // namespace

class HistogramCell {
 public:
  explicit HistogramCell(const HistogramAxis& axis)
      : buckets_(std::tuple(Axis(axis.buckets, axis.low, axis.high))) {}

  void Record(double value) {
    // The logarithm of a negative value is NaN, which counts in the last
    // bucket.
    buckets_(std::max(value, 0.0));
    sum_.fetch_add(value, std::memory_order_relaxed);
  }

  // A bucket of Boost.Histogram excludes its upper bound, a bucket of the
  // exposition includes it. Only values that equal a bound are counted one
  // bucket too high, so the difference is ignored.
  std::string SampleLines(const std::string& name,
                          const std::string& labels) const {
    std::string prefix = labels;
    prefix += labels.empty() ? "le=\"" : ",le=\"";
    std::string result;
    uint64_t total = 0;
    const Axis& axis = buckets_.axis();
    for (int i = -1; i <= axis.size(); ++i) {
      total += buckets_.at(i).value();
      std::string bound =
          i == axis.size() ? "+Inf" : FormatBound(axis.bin(i).upper());
      result += SampleLine(name + "_bucket", prefix + bound + "\"",
                           std::to_string(total));
    }
    result += SampleLine(name + "_sum", labels, FormatNumber(sum_.load()));
    result += SampleLine(name + "_count", labels, std::to_string(total));
    return result;
  }

 private:
  BucketCounts buckets_;
  std::atomic<double> sum_{0};
};

void Histogram::Record(double value) const {
  if (cell_ != nullptr && std::isfinite(value))
    cell_->Record(value);
}

struct Metrics::State {
  struct Series {
    std::atomic<uint64_t> count{0};
    std::atomic<double> gauge_value{0};
    std::unique_ptr<HistogramCell> histogram_cell;
  };
  struct Family {
    Kind kind = Kind::kCounter;
    std::string help;
    // The series by their label text. Handles point into this map, whose nodes
    // do not move.
    std::map<std::string, Series> series;
  };

  Series& Find(Kind kind,
               std::string_view name,
               std::string_view help,
               const Labels& labels);

  const size_t max_series;
  mutable std::mutex mutex;
  std::map<std::string, Family> families;
  uint64_t overflows = 0;
};

Metrics::State::Series& Metrics::State::Find(Kind kind,
                                             std::string_view name,
                                             std::string_view help,
                                             const Labels& labels) {
  if (!IsMetricName(name))
    throw std::invalid_argument("invalid metric name: " + std::string(name));
  for (const auto& label : labels) {
    if (!IsMetricName(label.first) || label.first == "le")
      throw std::invalid_argument("invalid label name: " + label.first);
  }
  auto [it, added] = families.try_emplace(std::string(name));
  Family& family = it->second;
  if (added) {
    family.kind = kind;
    family.help = help;
  }
  if (family.kind != kind)
    throw std::invalid_argument("metric exists with another kind: " +
                                it->first);
  std::string text = LabelText(labels);
  auto found = family.series.find(text);
  if (found != family.series.end())
    return found->second;
  if (family.series.size() < max_series)
    return family.series[text];
  ++overflows;
  Labels other = labels;
  for (auto& label : other)
    label.second = "other";
  return family.series[LabelText(other)];
}

Metrics::Metrics(size_t max_series)
    : state_(new State{.max_series = max_series}) {}

Metrics::~Metrics() = default;

Counter Metrics::AddCounter(std::string_view name,
                            std::string_view help,
                            const Labels& labels) {
  std::lock_guard lock(state_->mutex);
  return Counter(&state_->Find(Kind::kCounter, name, help, labels).count);
}

Gauge Metrics::AddGauge(std::string_view name,
                        std::string_view help,
                        const Labels& labels) {
  std::lock_guard lock(state_->mutex);
  return Gauge(&state_->Find(Kind::kGauge, name, help, labels).gauge_value);
}

Histogram Metrics::AddHistogram(std::string_view name,
                                std::string_view help,
                                const Labels& labels,
                                const HistogramAxis& axis) {
  // Created before the series: a bad axis throws and must not leave an empty
  // series behind.
  auto histogram_cell = std::make_unique<HistogramCell>(axis);
  std::lock_guard lock(state_->mutex);
  auto& series = state_->Find(Kind::kHistogram, name, help, labels);
  if (!series.histogram_cell)
    series.histogram_cell = std::move(histogram_cell);
  return Histogram(series.histogram_cell.get());
}

std::string Metrics::Exposition() const {
  std::lock_guard lock(state_->mutex);
  std::string page;
  for (const auto& [name, family] : state_->families) {
    page +=
        Header(name, family.help, kKindNames[static_cast<int>(family.kind)]);
    for (const auto& [labels, series] : family.series) {
      if (family.kind == Kind::kCounter) {
        page += SampleLine(name, labels, std::to_string(series.count.load()));
      } else if (family.kind == Kind::kGauge) {
        page +=
            SampleLine(name, labels, FormatNumber(series.gauge_value.load()));
      } else {
        page += series.histogram_cell->SampleLines(name, labels);
      }
    }
  }
  const std::string overflow = "radishmoor_metric_series_overflows_total";
  page += Header(overflow, "Requests for a series above the limit of its name.",
                 "counter");
  page += SampleLine(overflow, "", std::to_string(state_->overflows));
  const std::string breaches = "radishmoor_invariant_breaches_total";
  page += Header(breaches, "Breaches of each named invariant.", "counter");
  for (const auto& [name, count] : InvariantBreaches()) {
    page += SampleLine(breaches, LabelText({{"invariant", name}}),
                       std::to_string(count));
  }
  return page;
}

}  // namespace radishmoor
