/** Events that a gate's links publish to its other tasks, and messages that they send. */
import {type ProcessRef} from '../core/ids.js';
import {type Versions} from '../core/tables.js';
import {
  type Announcement,
  type Load,
  type Location,
} from '../core/shared_types.js';
import {type AgentMessage, type GateMessage} from '../protocol/messages.js';

export interface AgentConnectedEvent {
  readonly type: 'agentUp';
  readonly agent: ProcessRef;
  readonly place: Location;
  readonly accelerators: number;
  readonly versions: Versions;
  readonly announcement: Announcement;
  readonly load: Load;
}

export type GateLinkEvent =
  | AgentConnectedEvent
  | {
      readonly type: 'agentDown';
      readonly agent: ProcessRef;
      readonly reason: string;
    }
  | {
      readonly type: 'agentMessage';
      readonly agent: ProcessRef;
      readonly body: AgentMessage;
    }
  | {readonly type: 'gateUp'; readonly gate: ProcessRef}
  | {
      readonly type: 'gateDown';
      readonly gate: ProcessRef;
      readonly reason: string;
    }
  | {
      readonly type: 'gateMessage';
      readonly gate: ProcessRef;
      readonly body: GateMessage;
    }
  | {readonly type: 'tick'};

/** Message that another task passes to the links to be sent. */
export type GateSend =
  | {
      readonly type: 'toAgent';
      readonly agent: ProcessRef;
      readonly body: GateMessage;
    }
  | {readonly type: 'toAllAgents'; readonly body: GateMessage}
  | {readonly type: 'toGate'; readonly gate: string; readonly body: GateMessage}
  | {readonly type: 'toAllGates'; readonly body: GateMessage};
