/** What the engine tells agents, and what agents tell the engine. */
import {type EndKind} from '../ports/task_worker.js';
import {type WorkerReport} from './worker_pool.js';

export interface StartOrder {
  readonly type: 'start';
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
}

export interface StopOrder {
  readonly type: 'stop';
  readonly worker: string;
  readonly task: string;
  readonly run: number;
}

/** Ends up to a number are durable. */
export interface AcknowledgeOrder {
  readonly type: 'acknowledge';
  readonly worker: string;
  readonly upTo: number;
}

export type Order = StartOrder | StopOrder | AcknowledgeOrder;

export interface AddressedOrder {
  readonly agent: string;
  readonly order: Order;
}

/** A run that the agent knows to be on its worker, or on its way there. */
export interface RunNews {
  readonly task: string;
  readonly run: number;
  /** False while the worker has not confirmed the start. */
  readonly isRunning: boolean;
  readonly checkpoint: string;
  readonly percent: number;
}

export interface EndNews {
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** Everything that an agent knows of its worker. */
export interface Inventory {
  readonly worker: WorkerReport;
  readonly runs: readonly RunNews[];
  /** Ends that are not acknowledged yet. */
  readonly ends: readonly EndNews[];
}

/** A run that never started and never will. */
export interface Refusal {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly reason: string;
}
