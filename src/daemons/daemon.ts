/** Interface of a process of the system: a gate or an agent. */

/** Addresses on which a started process listens. */
export interface DaemonAddresses {
  readonly http: string;
  /** Address for links from agents and other gates. Only gates have one. */
  readonly link?: string;
}

export interface Daemon {
  start(): Promise<DaemonAddresses>;
  /** Stops gracefully: waits for requests in progress, up to the stop grace period. */
  stop(): Promise<void>;
}
