/** Measures how late the event loop runs, from the delay of a periodic timer. */
import {type Clock} from '../core/clock.js';
import {type ComponentLog} from './event_log.js';
import {type Metrics} from './metrics.js';

/** Delay from which the event loop counts as blocked and is logged, in ms. */
const BLOCKED_MS = 500;
/** Interval between log lines on the use of the processor, in ms. */
const USAGE_LOG_INTERVAL_MS = 5000;
const MICROSECONDS_PER_MS = 1000;

export interface LoopDelayContext {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: ComponentLog;
}

/** The owner of the timer calls `recordTick` each time that it fires. */
export class LoopDelayMonitor {
  private lastTickMs: number;
  private lastUsageMs: number;
  private lastCpuMs = cpuTimeMs();
  private longestDelayMs = 0;

  constructor(
    private readonly intervalMs: number,
    private readonly ctx: LoopDelayContext,
  ) {
    this.lastTickMs = ctx.clock.nowMs();
    this.lastUsageMs = this.lastTickMs;
  }

  recordTick(): void {
    const {clock, metrics, log} = this.ctx;
    const nowMs = clock.nowMs();
    const delayMs = Math.max(0, nowMs - this.lastTickMs - this.intervalMs);
    this.lastTickMs = nowMs;
    this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
    metrics.recordDuration('loop_delay', delayMs);
    if (delayMs >= BLOCKED_MS)
      log.logEvent('loopBlocked', {ms: Math.round(delayMs)});
    if (nowMs - this.lastUsageMs >= USAGE_LOG_INTERVAL_MS) this.logUsage(nowMs);
  }

  private logUsage(nowMs: number): void {
    const cpuMs = cpuTimeMs();
    this.ctx.log.logEvent('usage', {
      ms: Math.round(nowMs - this.lastUsageMs),
      cpuMs: Math.round(cpuMs - this.lastCpuMs),
      longestLoopDelayMs: Math.round(this.longestDelayMs),
    });
    this.lastUsageMs = nowMs;
    this.lastCpuMs = cpuMs;
    this.longestDelayMs = 0;
  }
}

/** Processor time of this process, in ms. */
function cpuTimeMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}
