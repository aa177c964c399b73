/** Orders that the engine sends to agents, and reports that agents send to the engine. */
import {type Resources} from './job.js';
import {type RunEndKind} from '../ports/task_worker.js';
import {type WorkerReport} from './worker_pool.js';

export interface StartOrder {
  readonly type: 'start';
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly checkpoint: string;
  /** Whether the run may have been ordered before, so that it may have started. */
  readonly isRepeated: boolean;
  /** Capacity of the worker on which the order is based. */
  readonly workerCapacity?: Resources;
}

export interface StopOrder {
  readonly type: 'stop';
  readonly worker: string;
  readonly task: string;
  readonly run: number;
}

/** Confirms that all run ends up to number `upTo` are durable in the store. */
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

/** Status of a run that is on the agent's worker or is being started there. */
export interface RunStatus {
  readonly task: string;
  readonly run: number;
  /** False while the worker has not confirmed the start. */
  readonly isRunning: boolean;
  readonly checkpoint: string;
  readonly percent: number;
}

export interface EndReport {
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly kind: RunEndKind;
  readonly checkpoint: string;
}

/** A crash of a worker that its agent lived through. */
export interface WorkerCrash {
  /** Key of the incarnation that crashed; another one has taken its place. */
  readonly worker: string;
  /** Time since the crash, in ms. */
  readonly sinceMs: number;
}

/** Full state of a worker as its agent reports it. */
export interface WorkerInventory {
  readonly worker: WorkerReport;
  readonly runs: readonly RunStatus[];
  /** Run ends that the engine has not acknowledged yet. */
  readonly ends: readonly EndReport[];
}

/** Reports that a run never started and never will, or is no longer on its worker. */
export interface StartRefusal {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly reason: string;
}
