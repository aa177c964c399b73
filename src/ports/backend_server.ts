/** Interface through which an agent calls its backend server. */
import {type ComponentKind} from '../core/kernel.js';
import {type Answer} from '../core/outcome.js';
import {type RunEnd} from '../core/shared_types.js';

export interface BackendCall {
  readonly run: string;
  readonly kind: string;
  readonly workspace: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly remainingMs: number;
}

/** Result of a call; `unreachable` means that no byte of the request was sent. */
export interface BackendCallResult {
  readonly end: RunEnd | 'unreachable';
  readonly answer?: Answer;
}

export abstract class BackendServer {
  /** Sends a request exactly once, without retries. Never throws. */
  abstract call(
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<BackendCallResult>;
  abstract close(): Promise<void>;
}

export interface BackendServerOptions {
  readonly address: string;
  readonly maxAnswerBytes: number;
}

export const BACKEND_SERVER: ComponentKind<
  BackendServer,
  BackendServerOptions
> = {
  kind: 'backendServer',
};
