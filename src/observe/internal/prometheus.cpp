#include "observe/prometheus.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

namespace foxtailrudder {
namespace {

constexpr std::string_view kPrefix = "foxtailrudder_";

std::string FormatNumber(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  std::array<char, 32> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), end.ptr};
}

std::string Escape(std::string_view text, bool escape_quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\') {
      escaped += "\\\\";
    } else if (c == '\n') {
      escaped += "\\n";
    } else if (c == '"' && escape_quotes) {
      escaped += "\\\"";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

class MetricsText {
 public:
  void WriteHeader(std::string_view name, std::string_view help, std::string_view type) {
    m_text += "# HELP " + FullName(name) + " " + Escape(help, false) + "\n";
    m_text += "# TYPE " + FullName(name) + " " + std::string(type) + "\n";
  }

  void WriteSample(std::string_view name, const MetricLabels& labels, const std::string& value) {
    m_text += FullName(name);
    std::string_view separator = "{";
    for (const auto& [label, label_value] : labels) {
      m_text += std::string(separator) + label + "=\"" + Escape(label_value, true) + "\"";
      separator = ",";
    }
    m_text += (labels.empty() ? " " : "} ") + value + "\n";
  }

  std::string Take() { return std::move(m_text); }

 private:
  static std::string FullName(std::string_view name) {
    return std::string(kPrefix) + std::string(name);
  }

  std::string m_text;
};

// Sorts metrics by name, because all samples of a name must follow its single header.
template <typename Metric>
std::vector<const Metric*> SortByName(std::span<const Metric> metrics) {
  std::vector<const Metric*> sorted;
  for (const Metric& metric : metrics) sorted.push_back(&metric);
  std::ranges::stable_sort(sorted, {},
                           [](const Metric* metric) -> const std::string& { return metric->name; });
  return sorted;
}

void WriteCountersByReason(MetricsText& text, std::string_view name, std::string_view help,
                           const Counters& counters,
                           std::uint64_t (Counters::*get)(ErrorKind) const) {
  text.WriteHeader(name, help, "counter");
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    text.WriteSample(name, {{"reason", std::string(ErrorAnswerOf(kind).name)}},
                     std::to_string((counters.*get)(kind)));
  }
}

void WriteHistogram(MetricsText& text, const HistogramMetric& metric) {
  const std::string bucket_name = metric.name + "_bucket";
  const std::string count = std::to_string(metric.histogram.count());
  MetricLabels labels = metric.labels;
  labels.emplace_back("le", "");
  for (const LatencyHistogram::Bucket& bucket : metric.histogram.Buckets()) {
    labels.back().second = FormatNumber(bucket.upper_seconds);
    text.WriteSample(bucket_name, labels, std::to_string(bucket.cumulative));
  }
  labels.back().second = "+Inf";
  text.WriteSample(bucket_name, labels, count);
  text.WriteSample(metric.name + "_sum", metric.labels,
                   FormatNumber(metric.histogram.sum().count()));
  text.WriteSample(metric.name + "_count", metric.labels, count);
}

}  // namespace

std::string PrometheusText(const Counters& counters, std::span<const Gauge> gauges,
                           std::span<const HistogramMetric> histograms) {
  MetricsText text;
  for (std::size_t i = 0; i < static_cast<std::size_t>(CounterId::kCount); ++i) {
    const auto id = static_cast<CounterId>(i);
    const std::string event(CounterName(id));
    const std::string name = event + "_total";
    text.WriteHeader(name, "Events of the kind " + event + " since the start.", "counter");
    text.WriteSample(name, {}, std::to_string(counters.Get(id)));
  }
  WriteCountersByReason(text, "refusals_total", "Refusals by reason.", counters,
                        &Counters::Refusals);
  WriteCountersByReason(text, "retries_total", "Retries by reason of the preceding refusal.",
                        counters, &Counters::Retries);

  std::string_view previous;
  for (const Gauge* const gauge : SortByName(gauges)) {
    if (gauge->name != previous) text.WriteHeader(gauge->name, gauge->help, "gauge");
    previous = gauge->name;
    text.WriteSample(gauge->name, gauge->labels, FormatNumber(gauge->value));
  }
  previous = {};
  for (const HistogramMetric* const metric : SortByName(histograms)) {
    if (metric->name != previous) text.WriteHeader(metric->name, metric->help, "histogram");
    previous = metric->name;
    WriteHistogram(text, *metric);
  }
  return text.Take();
}

}  // namespace foxtailrudder
