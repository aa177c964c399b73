/**
 * Stand-in of a worker. It runs tasks under leases and counts starts on accelerators
 * that another task is using.
 */
import {fastify, type FastifyInstance} from 'fastify';
import {registerFaults, sleep} from './faults.js';

interface TaskRequest {
  readonly kind: string;
  readonly bodyBase64: string;
  readonly accelerators: readonly number[];
  readonly rank: number;
  readonly size: number;
  readonly leaseMs: number;
}

/** Options that a task body can set for the stand-in. */
interface TaskBody {
  readonly id?: string;
  readonly runMs?: number;
  readonly fail?: boolean;
}

interface Task {
  readonly id: string;
  readonly startedWallMs: number;
  readonly request?: TaskRequest;
  state: 'running' | 'done' | 'failed' | 'stopped';
  answer?: object;
  runTimer?: NodeJS.Timeout;
  leaseTimer?: NodeJS.Timeout;
  readonly waiters: Set<() => void>;
}

interface TaskParams {
  readonly id: string;
}

const DEFAULT_RUN_MS = 50;

export function makeGangWorker(): FastifyInstance {
  const http = fastify({bodyLimit: 64 * 1024 * 1024});
  const faults = registerFaults(http);
  const tasks = new Map<string, Task>();
  const totals = {sharedAccelerators: 0};

  const endTask = (task: Task, state: Task['state'], answer?: object) => {
    if (task.state !== 'running') return;
    task.state = state;
    task.answer = answer;
    clearTimeout(task.runTimer);
    clearTimeout(task.leaseTimer);
    for (const wake of task.waiters) wake();
    task.waiters.clear();
  };
  const describeTask = (task: Task | undefined) =>
    task ? {state: task.state, answer: task.answer} : {state: 'absent'};
  const extendLease = (task: Task, leaseMs: number) => {
    clearTimeout(task.leaseTimer);
    task.leaseTimer = setTimeout(() => endTask(task, 'stopped'), leaseMs);
  };
  const startTask = (id: string, request: TaskRequest): Task => {
    const inUse = [...tasks.values()]
      .filter(t => t.state === 'running')
      .flatMap(t => t.request?.accelerators ?? []);
    if (request.accelerators.some(i => inUse.includes(i)))
      totals.sharedAccelerators++;
    const task: Task = {
      id,
      request,
      startedWallMs: Date.now(),
      state: 'running',
      waiters: new Set(),
    };
    tasks.set(id, task);
    extendLease(task, request.leaseMs);
    const body = parseBody(request.bodyBase64);
    const shouldFail = faults.failAll || body.fail === true;
    const runMs = shouldFail ? 1 : (body.runMs ?? DEFAULT_RUN_MS);
    task.runTimer = setTimeout(
      () =>
        shouldFail
          ? endTask(task, 'failed')
          : endTask(task, 'done', responseOf(task, body)),
      runMs,
    );
    return task;
  };

  http.addHook('onRequest', async (req, res) => {
    if (faults.down && !req.url.startsWith('/faults'))
      return res.code(503).send({error: 'down'});
    if (faults.slowMs > 0) await sleep(faults.slowMs);
  });
  http.put<{Params: TaskParams; Body: TaskRequest}>('/tasks/:id', async req =>
    describeTask(
      tasks.get(req.params.id) ?? startTask(req.params.id, req.body),
    ),
  );
  http.post<{Params: TaskParams; Body: {leaseMs: number}}>(
    '/tasks/:id/lease',
    async req => {
      const task = tasks.get(req.params.id);
      if (task?.state === 'running') extendLease(task, req.body.leaseMs);
      return describeTask(task);
    },
  );
  http.post<{Params: TaskParams}>('/tasks/:id/stop', async req => {
    const {id} = req.params;
    const task = tasks.get(id);
    if (task) endTask(task, 'stopped');
    // Recorded as stopped, so that a start that arrives after the stop has no effect.
    else
      tasks.set(id, {
        id,
        startedWallMs: 0,
        state: 'stopped',
        waiters: new Set(),
      });
    return describeTask(tasks.get(id));
  });
  http.get<{Params: TaskParams; Querystring: {wait?: string}}>(
    '/tasks/:id',
    async req => {
      const task = tasks.get(req.params.id);
      if (task?.state === 'running')
        await waitForEnd(task, Number(req.query.wait ?? 0));
      return describeTask(task);
    },
  );
  http.post('/stop-all', async () => {
    for (const task of tasks.values()) endTask(task, 'stopped');
    return {state: 'stopped'};
  });
  http.get('/runs', async () => ({
    ...totals,
    runs: [...tasks.values()]
      .filter(t => t.request)
      .map(t => ({
        task: t.id,
        state: t.state,
        startedWallMs: t.startedWallMs,
        accelerators: t.request!.accelerators,
        body: parseBody(t.request!.bodyBase64).id,
      })),
  }));
  return http;
}

function responseOf(task: Task, body: TaskBody): object {
  const text = JSON.stringify({
    ran: body.id ?? null,
    rank: task.request!.rank,
    size: task.request!.size,
  });
  return {
    status: 200,
    contentType: 'application/json',
    bodyBase64: Buffer.from(text).toString('base64'),
  };
}

function waitForEnd(task: Task, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const onEnd = () => {
      clearTimeout(timer);
      task.waiters.delete(onEnd);
      resolve();
    };
    const timer = setTimeout(onEnd, waitMs);
    task.waiters.add(onEnd);
  });
}

function parseBody(bodyBase64: string): TaskBody {
  try {
    return JSON.parse(Buffer.from(bodyBase64, 'base64').toString()) as TaskBody;
  } catch {
    return {};
  }
}
