/** A process of the system. */

/** Addresses that a started process listens on. */
export interface DaemonAddresses {
  readonly http: string;
  /** Address for other processes of the system; gates only. */
  readonly link?: string;
}

export interface Daemon {
  start(): Promise<DaemonAddresses>;
  /** Stops gracefully: cuts no request. */
  stop(): Promise<void>;
}
