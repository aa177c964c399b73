/** Identifiers of processes and requests. */

/** One life of one process. A restart gives a new incarnation. */
export type Incarnation = string;

/** Names one process in one of its lives. */
export interface ProcessRef {
  readonly id: string;
  readonly incarnation: Incarnation;
}

/**
 * Builds an incarnation from the start time and 64 random bits, in hexadecimal.
 */
export function makeIncarnation(
  startWallMs: number,
  randomHex: string,
): Incarnation {
  return `${startWallMs.toString(16)}-${randomHex}`;
}

/** Parts of a request id. */
export interface RequestIdParts {
  readonly acceptedWallMs: number;
  readonly gate: string;
  readonly unique: string;
}

/** Builds a request id; it carries its time of acceptance and its gate. */
export function makeRequestId(parts: RequestIdParts): string {
  return `r~${parts.acceptedWallMs.toString(36)}~${parts.gate}~${parts.unique}`;
}

/** Reads a request id; undefined when it is malformed. */
export function parseRequestId(id: string): RequestIdParts | undefined {
  const match = /^r~([0-9a-z]+)~([a-z0-9._-]+)~([0-9a-z]+)$/.exec(id);
  if (!match) return undefined;
  const acceptedWallMs = parseInt(match[1], 36);
  return {acceptedWallMs, gate: match[2], unique: match[3]};
}
