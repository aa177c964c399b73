/** Turns errors into HTTP responses whose message contains a remedy. */
import {type FastifyInstance} from 'fastify';
import {type ErrorProps, LagoonError} from '../core/errors.js';

interface FastifyHttpError {
  readonly code?: string;
  readonly statusCode?: number;
  readonly message: string;
}

/** Installs the error handler and the not-found handler. */
export function installErrorHandlers(http: FastifyInstance): void {
  http.setErrorHandler((err, req, res) => {
    const {status, retryAfterS, kind, message} = describeError(
      err as Error & FastifyHttpError,
    );
    if (retryAfterS !== undefined)
      res.header('retry-after', String(retryAfterS));
    const faults =
      err instanceof LagoonError
        ? (err as unknown as ErrorProps).faults
        : undefined;
    return res.code(status).send({error: kind, message, faults});
  });
  http.setNotFoundHandler((req, res) =>
    res.code(404).send({
      error: 'NotFoundError',
      message: `no such path: ${req.method} ${req.url}; see the README for the paths`,
    }),
  );
}

function describeError(err: Error & FastifyHttpError) {
  if (err instanceof LagoonError) {
    const {status, retryAfterS} = err as unknown as ErrorProps;
    return {status, retryAfterS, kind: err.name, message: err.message};
  }
  if (err.code === 'FST_ERR_CTP_BODY_TOO_LARGE') {
    return {
      status: 413,
      kind: 'TooLargeError',
      message:
        'the body is larger than the limit; send a smaller body or raise limits.bodyBytes',
    };
  }
  const status = err.statusCode ?? 500;
  const kind = status < 500 ? 'BadRequestError' : 'InternalError';
  const remedy =
    status < 500 ? 'correct the request' : 'see the log of this process';
  return {status, kind, message: `${err.message}; ${remedy}`};
}
