/** Objects shared by all tasks of one process. */
import {randomBytes} from 'node:crypto';
import {type Clock} from '../core/clock.js';
import {HybridClock} from '../core/hybrid_clock.js';
import {type ProcessRef, makeIncarnation} from '../core/ids.js';
import {Random} from '../core/random.js';
import {Timeline} from '../core/timeline.js';
import {type Location} from '../core/shared_types.js';
import {type LogLevel, LoggerFactory} from '../plugins/logger_factory.js';
import {Metrics} from '../plugins/metrics.js';
import {SystemClock} from '../plugins/system_clock.js';

const INCARNATION_RANDOM_BYTES = 8;

export interface ProcessContext {
  readonly ref: ProcessRef;
  readonly place: Location;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly random: Random;
  readonly logs: LoggerFactory;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
}

export interface ProcessOptions {
  readonly id: string;
  readonly place: Location;
  readonly logLevel: LogLevel;
  readonly seed: number;
}

export function makeProcessContext(options: ProcessOptions): ProcessContext {
  const clock = new SystemClock();
  const hybridClock = new HybridClock(clock);
  const randomHex = randomBytes(INCARNATION_RANDOM_BYTES).toString('hex');
  return {
    ref: {
      id: options.id,
      incarnation: makeIncarnation(clock.wallMs(), randomHex),
    },
    place: options.place,
    clock,
    hybridClock,
    random: new Random(options.seed),
    logs: new LoggerFactory(options.id, options.logLevel),
    metrics: new Metrics(),
    timeline: new Timeline(options.id, hybridClock),
  };
}
