/** HTTP client for the request interface of a gate. */
import {Agent, request} from 'undici';

const CALL_TIMEOUT_MS = 60_000;
const dispatcher = new Agent({connections: 512});

export interface CallOptions {
  readonly gateUrl: string;
  readonly token: string;
  readonly kind: string;
  readonly body: {readonly id: string; readonly [name: string]: unknown};
  readonly idempotencyKey?: string;
  /** Time that the gate waits for the result before it responds, in ms. */
  readonly waitMs?: number;
  readonly deadlineMs?: number;
}

/** Response that a caller received. */
export interface CallResult {
  /** HTTP status; 0 if no gate responded. */
  readonly status: number;
  /** Outcome reported by the gate; `NO_RESPONSE` if no gate responded. */
  readonly outcome: string;
  readonly id: string | undefined;
  /** Body of the response; the error if no gate responded. */
  readonly body: string;
}

export const NO_RESPONSE = 'no_answer';

/** Submits one request and waits for its result. */
export async function submitRequest(options: CallOptions): Promise<CallResult> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${options.token}`,
    'content-type': 'application/json',
  };
  if (options.idempotencyKey)
    headers['idempotency-key'] = options.idempotencyKey;
  if (options.deadlineMs) headers['x-deadline-ms'] = String(options.deadlineMs);
  const query = options.waitMs === undefined ? '' : `?wait=${options.waitMs}`;
  return sendRequest(
    'POST',
    `${options.gateUrl}/v1/requests/${options.kind}${query}`,
    headers,
    JSON.stringify(options.body),
  );
}

/** Gets the result of a request; waits for it for up to `waitMs` ms. */
export function getRequest(
  gate: string,
  token: string,
  id: string,
  waitMs: number,
): Promise<CallResult> {
  return sendRequest('GET', `${gate}/v1/requests/${id}?wait=${waitMs}`, {
    authorization: `Bearer ${token}`,
  });
}

export function cancelRequest(
  gate: string,
  token: string,
  id: string,
): Promise<CallResult> {
  return sendRequest('DELETE', `${gate}/v1/requests/${id}`, {
    authorization: `Bearer ${token}`,
  });
}

/** True if the response is complete and belongs to the request with this id. */
export function isResponseTo(result: CallResult, id: string): boolean {
  try {
    return (JSON.parse(result.body) as {ran?: string}).ran === id;
  } catch {
    return false;
  }
}

async function sendRequest(
  method: 'POST' | 'GET' | 'DELETE',
  url: string,
  headers: Record<string, string>,
  body?: string,
): Promise<CallResult> {
  try {
    const res = await request(url, {
      method,
      headers,
      body,
      dispatcher,
      headersTimeout: CALL_TIMEOUT_MS,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await res.body.text();
    const outcome = String(res.headers['x-lagoonshunt-outcome'] ?? 'error');
    const location = res.headers.location as string | undefined;
    return {
      status: res.statusCode,
      outcome,
      id: location?.split('/').pop(),
      body: text,
    };
  } catch (err) {
    const {code, message} = err as Error & {code?: string};
    const reason = code === undefined ? message : `${code}: ${message}`;
    return {status: 0, outcome: NO_RESPONSE, id: undefined, body: reason};
  }
}
