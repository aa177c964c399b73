/** Identifiers of processes and requests. */

/** Identifies one run of a process; each restart yields a new incarnation. */
export type Incarnation = string;

/** Identifies one incarnation of a process. */
export interface ProcessRef {
  readonly id: string;
  readonly incarnation: Incarnation;
}

/** Builds an incarnation from the start time and 64 random bits in hexadecimal. */
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

/** Builds a request id that contains the time of acceptance and the gate. */
export function makeRequestId(parts: RequestIdParts): string {
  return `r~${parts.acceptedWallMs.toString(36)}~${parts.gate}~${parts.unique}`;
}

/** Parses a request id; returns undefined when it is malformed. */
export function parseRequestId(id: string): RequestIdParts | undefined {
  const match = /^r~([0-9a-z]+)~([a-z0-9._-]+)~([0-9a-z]+)$/.exec(id);
  if (!match) return undefined;
  const acceptedWallMs = parseInt(match[1], 36);
  return {acceptedWallMs, gate: match[2], unique: match[3]};
}
