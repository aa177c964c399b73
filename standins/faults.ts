/** Faults that can be injected into a stand-in with `POST /faults`. */
import {type FastifyInstance} from 'fastify';

export interface StandInFaults {
  /** Reject calls with status 503. */
  down: boolean;
  /** Additional delay before each response, in ms. */
  slowMs: number;
  /** Number of write batches to apply without sending a response. */
  loseAnswers: number;
  /** Fail every task or request. */
  failAll: boolean;
  /** Send no responses until the fault is cleared. */
  hang: boolean;
  /** Close the connection after the request has started. */
  breakAfterStart: boolean;
}

export function noFaults(): StandInFaults {
  return {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
    failAll: false,
    hang: false,
    breakAfterStart: false,
  };
}

/** Registers `POST /faults`; returns the faults object that it updates. */
export function registerFaults(http: FastifyInstance): StandInFaults {
  const faults = noFaults();
  http.post('/faults', async req =>
    Object.assign(faults, req.body as Partial<StandInFaults>),
  );
  return faults;
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
