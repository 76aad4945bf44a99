// Counters, gauges and histograms, and their text exposition for scrapers.
//
//   Metrics metrics;
//   Counter sent = metrics.AddCounter(
//       "radishmoor_sent_total", "Attempts sent.", {{"pool", "billing"}});
//   Histogram wait = metrics.AddHistogram("radishmoor_wait_seconds",
//                                         "Time in the queue.");
//   sent.Add();
//   wait.Record(0.012);
//   std::string page = metrics.Exposition();
//
// Counter, Gauge and Histogram are handles, valid as long as the Metrics
// object. Updates through a handle are thread-safe and take no lock. The Add*
// functions take a lock and look the series up by name and labels, so keep the
// handle.
//
// To bound memory, each name has at most `max_series` sets of labels. Further
// sets share one series whose label values are "other".

#ifndef RADISHMOOR_OPS_METRICS_H_
#define RADISHMOOR_OPS_METRICS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishmoor {

// Label names and values, in the order of the exposition.
using Labels = std::vector<std::pair<std::string, std::string>>;

class Counter {
 public:
  Counter() = default;
  void Add(uint64_t n = 1) const {
    if (cell_ != nullptr)
      cell_->fetch_add(n, std::memory_order_relaxed);
  }
  uint64_t value() const { return cell_ == nullptr ? 0 : cell_->load(); }

 private:
  friend class Metrics;
  explicit Counter(std::atomic<uint64_t>* cell) : cell_(cell) {}
  std::atomic<uint64_t>* cell_ = nullptr;
};

class Gauge {
 public:
  Gauge() = default;
  void Set(double value) const {
    if (cell_ != nullptr)
      cell_->store(value, std::memory_order_relaxed);
  }
  void Add(double value) const {
    if (cell_ != nullptr)
      cell_->fetch_add(value, std::memory_order_relaxed);
  }
  double value() const { return cell_ == nullptr ? 0 : cell_->load(); }

 private:
  friend class Metrics;
  explicit Gauge(std::atomic<double>* cell) : cell_(cell) {}
  std::atomic<double>* cell_ = nullptr;
};

class HistogramCell;

class Histogram {
 public:
  Histogram() = default;
  // Ignores values that are not finite.
  void Record(double value) const;

 private:
  friend class Metrics;
  explicit Histogram(HistogramCell* cell) : cell_(cell) {}
  HistogramCell* cell_ = nullptr;
};

// Buckets of a histogram: `buckets` log-spaced ones between `low` and `high`,
// one more for values below `low` and one for values from `high` on. For values
// in seconds, the default spans 100 us to 100 s with a factor of 1.78 between
// bounds.
struct HistogramAxis {
  double low = 1e-4;
  double high = 100;
  unsigned buckets = 24;
};

class Metrics {
 public:
  // Enough for one set of labels for each of the 1100 worker hosts of the
  // largest site.
  static constexpr size_t kDefaultMaxSeries = 2048;

  explicit Metrics(size_t max_series = kDefaultMaxSeries);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Return the series with the given name and labels, which is added if it does
  // not exist. Throw std::invalid_argument if scrapers do not accept the name
  // or a label name, if the name belongs to a metric of another kind, or unless
  // 0 < axis.low < axis.high and axis.buckets >= 1.
  Counter AddCounter(std::string_view name,
                     std::string_view help,
                     const Labels& labels = {});
  Gauge AddGauge(std::string_view name,
                 std::string_view help,
                 const Labels& labels = {});
  Histogram AddHistogram(std::string_view name,
                         std::string_view help,
                         const Labels& labels = {},
                         const HistogramAxis& axis = {});

  // Returns all series in text exposition format 0.0.4, with the breach
  // counters of invariant.h and the number of Add* calls that exceeded
  // `max_series`.
  std::string Exposition() const;
  static constexpr std::string_view kContentType =
      "text/plain; version=0.0.4; charset=utf-8";

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_OPS_METRICS_H_
