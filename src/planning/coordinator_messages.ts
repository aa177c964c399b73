/** Inputs and effects of the gang coordinator of a pool. */
import {type ProcessRef} from '../core/ids.js';
import {type Answer, type Settlement} from '../core/outcome.js';
import {type Pool} from '../core/tables.js';
import {
  type GangMember,
  type ShareReport,
  type ShareState,
} from '../core/shared_types.js';
import {type WorkerInfo} from './buddy_pool.js';
import {type GangSpec, type StartRecord} from './gang_spec.js';

export type CoordinatorInput =
  | {readonly type: 'configure'; readonly pool: Pool}
  | {
      readonly type: 'agentUp';
      readonly agent: ProcessRef;
      readonly site: WorkerInfo;
    }
  | {readonly type: 'agentDown'; readonly agent: ProcessRef}
  /** `serving` is true while the agent accepts new gangs. */
  | {
      readonly type: 'agentServing';
      readonly agent: ProcessRef;
      readonly serving: boolean;
    }
  | {
      readonly type: 'fenceAck';
      readonly agent: ProcessRef;
      readonly epoch: number;
      readonly accepted: boolean;
      readonly shares: readonly ShareReport[];
    }
  | {
      readonly type: 'reserveAck';
      readonly agent: ProcessRef;
      readonly epoch: number;
      readonly gang: string;
      readonly attempt: number;
      readonly accepted: boolean;
      readonly reason: string;
    }
  | {
      readonly type: 'shareReport';
      readonly agent: ProcessRef;
      readonly gang: string;
      readonly attempt: number;
      readonly state: ShareState;
      readonly answer?: Answer;
    }
  /** An accepted gang; `recovered` is true when an earlier owner may have started it. */
  | {
      readonly type: 'gang';
      readonly spec: GangSpec;
      readonly rowVersion: number;
      readonly mark?: StartRecord;
      readonly recovered: boolean;
    }
  | {readonly type: 'cancel'; readonly gang: string}
  | {readonly type: 'rowReply'; readonly gang: string; readonly reply: RowReply}
  | {readonly type: 'tick'};

export type RowReply =
  | {readonly type: 'committed'; readonly version: number}
  /** Another process wrote the row, so this one no longer owns the pool. */
  | {readonly type: 'conflict'}
  /** Another process has already recorded the end of the gang. */
  | {readonly type: 'ended'; readonly settlement: Settlement}
  | {readonly type: 'unavailable'};

/** Order from the pool owner to an agent. */
export type AgentOrder =
  | {readonly type: 'fence'; readonly epoch: number}
  | {
      readonly type: 'reserve';
      readonly epoch: number;
      readonly gang: string;
      readonly attempt: number;
      readonly members: GangMember[];
      /** Time after which an unstarted reservation expires, in ms. */
      readonly holdMs: number;
    }
  | {
      readonly type: 'start';
      readonly epoch: number;
      readonly gang: string;
      readonly attempt: number;
    }
  | {
      readonly type: 'stop';
      readonly epoch: number;
      readonly gang: string;
      readonly attempt: number;
      readonly checkpoint: boolean;
    }
  | {
      readonly type: 'confirm';
      readonly epoch: number;
      readonly gangs: string[];
    };

export type CoordinatorEffect =
  | {
      readonly type: 'order';
      readonly agent: ProcessRef;
      readonly order: AgentOrder;
    }
  /** Write the start record to the gang's row; the reply comes back as `rowReply`. */
  | {
      readonly type: 'writeMark';
      readonly gang: string;
      readonly rowVersion: number;
      readonly mark: StartRecord;
    }
  /** Write the end to the gang's row; the reply comes back as `rowReply`. */
  | {
      readonly type: 'writeEnd';
      readonly gang: string;
      readonly rowVersion: number;
      readonly settlement: Settlement;
    }
  /** Write the end to the gang's row on a best-effort basis; no reply is awaited. */
  | {
      readonly type: 'recordEnd';
      readonly gang: string;
      readonly rowVersion: number;
      readonly settlement: Settlement;
    }
  /** Report the end of the gang to its caller. */
  | {
      readonly type: 'settle';
      readonly gang: string;
      readonly settlement: Settlement;
    }
  /** Add an entry to the timeline. */
  | {readonly type: 'event'; readonly gang: string; readonly event: string}
  /** Release ownership of the pool, because a newer owner exists. */
  | {readonly type: 'stepDown'};
