/* global performance */
// Both members of a gang fail in its first run. The end of the second member reaches a leader
// only after the leader that recorded the first one was killed.
import {runCase, sleep, TROUBLE} from '../lib-3/deployment.mjs';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

const FAIL_AFTER_MS = 1500;
const WORK_MS = 3000;
const MAX_ATTEMPTS = 2;

await runCase(dirname(fileURLToPath(import.meta.url)), async d => {
  /** Runs of the gang by number: members present, and when all of them were. */
  const gangRuns = new Map();
  const failedRuns = new Set();
  let mayFail = false;
  const onRunBegun = (w, r) => {
    const g = gangRuns.get(r.run) ?? {members: new Map(), over: new Set()};
    gangRuns.set(r.run, g);
    g.members.set(r.task, {w, r});
    if (g.members.size === 2) g.allAt = performance.now();
  };
  const workOn = (w, r) => {
    r.workMs = WORK_MS;
    const g = gangRuns.get(r.run);
    const now = performance.now();
    if (!g.allAt) {
      if (now - r.startedAt > w.gangMs) w.end(r, 'alone');
      return;
    }
    if (r.run === 1) {
      // Both members meet the same fault of their program at the same moment.
      if (mayFail && now - g.allAt >= FAIL_AFTER_MS) w.end(r, 'failed');
    } else if (g.over.size > 0 && !g.isDone) w.end(r, 'broken');
    else if (now - g.allAt >= WORK_MS) {
      g.isDone = true;
      w.end(r, 'done');
    }
  };
  const onRunOver = (w, r, how) => {
    gangRuns.get(r.run).over.add(r.task);
    if (how === 'failed') failedRuns.add(r.run);
  };
  await d.start({
    gates: 3,
    workers: 8,
    queues: {bulk: {'max-attempts': MAX_ATTEMPTS}},
    worker: {workOn, onRunOver, onRunBegun},
  });
  const id = d.newId();
  const client = d.gateNames.find(g => g !== d.leader());
  await d.submit(
    'bulk',
    id,
    {
      spec: 'gang',
      steps: [
        {
          count: 2,
          cpu: 26_000,
          'mem-mb': 1024,
          gpu: 8,
          gang: true,
          'est-runtime-ms': WORK_MS,
        },
      ],
    },
    client,
  );
  const g = await d.waitFor(
    'both members',
    () => gangRuns.get(1)?.allAt && gangRuns.get(1),
    10_000,
  );
  const [first, second] = [...g.members.values()];
  if (TROUBLE) {
    await sleep(FAIL_AFTER_MS - 300);
    // A process of the system is killed: the agent beside the second member.
    d.signal(second.w.name, 'SIGKILL');
    mayFail = true;
    // ... and then the process that last wrote to the store under a condition.
    await d.waitFor(
      'the first end to be taken note of',
      () => first.w.acked > 0,
      5000,
    );
    const leader = d.leader();
    d.signal(leader, 'SIGKILL');
    await sleep(1000);
    d.startProcess(second.w.name);
    d.startProcess(leader);
  } else mayFail = true;
  const until = performance.now() + 40_000;
  let state;
  do {
    state = await d.state('bulk', id, client);
    if (['completed', 'failed', 'cancelled'].includes(state)) break;
    await sleep(500);
  } while (performance.now() < until);
  if (state === 'completed') return undefined;
  return `the gang ${id} is shown as ${state}; runs that failed: ${[...failedRuns].join(', ')} of ${MAX_ATTEMPTS} allowed`;
});
