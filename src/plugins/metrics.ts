/** Counters, gauges and latency histograms of one process. */
import {type Histogram, build} from 'hdr-histogram-js';

/** Longer durations are recorded as this value. */
const MAX_DURATION_MS = 3_600_000;
const PERCENTILES: readonly number[] = [50, 90, 99, 99.9];

export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, Histogram>();

  /** Adds to a counter. */
  increment(name: string, amount = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + amount);
  }

  /** Sets a value that may fall as well as rise. */
  setGauge(name: string, value: number): void {
    this.counters.set(name, value);
  }

  counterValue(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /** Records a duration in ms. */
  recordDuration(name: string, ms: number): void {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      histogram = build({
        highestTrackableValue: MAX_DURATION_MS * 1000,
        numberOfSignificantValueDigits: 2,
      });
      this.histograms.set(name, histogram);
    }
    histogram.recordValue(
      Math.min(MAX_DURATION_MS * 1000, Math.max(1, Math.round(ms * 1000))),
    );
  }

  /** Returns all metrics in the Prometheus text format; durations are in ms. */
  formatPrometheus(): string {
    const lines: string[] = [];
    for (const [name, value] of this.counters)
      lines.push(`lagoonshunt_${name} ${value}`);
    for (const [name, histogram] of this.histograms) {
      for (const percentile of PERCENTILES) {
        const ms = histogram.getValueAtPercentile(percentile) / 1000;
        lines.push(
          `lagoonshunt_${name}_ms{quantile="${percentile / 100}"} ${ms}`,
        );
      }
      lines.push(`lagoonshunt_${name}_ms_count ${histogram.totalCount}`);
    }
    const {rss} = process.memoryUsage();
    const {user, system} = process.cpuUsage();
    lines.push(`lagoonshunt_process_resident_bytes ${rss}`);
    lines.push(`lagoonshunt_process_cpu_ms ${(user + system) / 1000}`);
    return `${lines.join('\n')}\n`;
  }
}
