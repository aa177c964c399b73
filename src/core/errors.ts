/**
 * Typed errors. Each message states what was expected, what was found and how to fix it.
 * `status` is the HTTP status with which the error is reported.
 */
import ModernError from 'modern-errors';

/** Properties of every error of the project. */
export interface ErrorProps {
  /** HTTP status that callers and operators receive. */
  readonly status: number;
  /** Seconds after which the caller may try again. */
  readonly retryAfterS?: number;
  /** All faults found in a document. */
  readonly faults?: readonly Fault[];
}

/** One fault in a settings file or a table. */
export interface Fault {
  /** Path within the document, such as `routes[2].pool`. */
  readonly path: string;
  /** Line in the file, counted from 1; absent for documents sent over HTTP. */
  readonly line?: number;
  readonly found: string;
  readonly expected: string;
  /** What to change to make the document valid. */
  readonly remedy: string;
}

/** Base class of all errors of the project. */
export const LagoonError = ModernError.subclass('LagoonError', {
  props: {status: 500} as ErrorProps,
});

/** A settings file or a table is not valid. */
export const InvalidDocumentError = LagoonError.subclass(
  'InvalidDocumentError',
  {props: {status: 422} as ErrorProps},
);

/** The request of a caller or operator is malformed. */
export const BadRequestError = LagoonError.subclass('BadRequestError', {
  props: {status: 400} as ErrorProps,
});

/** The bearer token is missing or unknown. */
export const UnauthorizedError = LagoonError.subclass('UnauthorizedError', {
  props: {status: 401} as ErrorProps,
});

/** The resource does not exist, or the caller may not see it. */
export const NotFoundError = LagoonError.subclass('NotFoundError', {
  props: {status: 404} as ErrorProps,
});

/** Another operator's edit was committed first. */
export const EditConflictError = LagoonError.subclass('EditConflictError', {
  props: {status: 412} as ErrorProps,
});

/** A request body exceeds the size limit. */
export const TooLargeError = LagoonError.subclass('TooLargeError', {
  props: {status: 413} as ErrorProps,
});

/** An idempotency key was used again with another payload. */
export const KeyReuseError = LagoonError.subclass('KeyReuseError', {
  props: {status: 422} as ErrorProps,
});

/** The table service cannot be reached, or did not answer in time. */
export const TableServiceError = LagoonError.subclass('TableServiceError', {
  props: {status: 503, retryAfterS: 2} as ErrorProps,
});

/** A message between two processes does not match its schema. */
export const ProtocolError = LagoonError.subclass('ProtocolError', {
  props: {status: 500} as ErrorProps,
});

/** Formats a fault as one line of text. */
export function formatFault(fault: Fault): string {
  const location = fault.line
    ? `line ${fault.line}, ${fault.path}`
    : fault.path;
  return `${location}: expected ${fault.expected}, found ${fault.found}; ${fault.remedy}`;
}
