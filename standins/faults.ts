/** Faults that a stand-in can be told to show, by `POST /faults`. */
import {type FastifyInstance} from 'fastify';

export interface Faults {
  /** Refuse every call. */
  down: boolean;
  /** Extra time before each answer, in ms. */
  slowMs: number;
  /** Number of writes to take without answering. */
  loseAnswers: number;
  /** Fail every task or request. */
  failAll: boolean;
  /** Answer nothing at all. */
  hang: boolean;
  /** Break the connection once the request has been taken. */
  breakAfterStart: boolean;
}

export function noFaults(): Faults {
  return {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
    failAll: false,
    hang: false,
    breakAfterStart: false,
  };
}

/** Adds the path that sets faults; returns the faults in force. */
export function registerFaults(http: FastifyInstance): Faults {
  const faults = noFaults();
  http.post('/faults', async req =>
    Object.assign(faults, req.body as Partial<Faults>),
  );
  return faults;
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
