/* global performance */
// A worker without runs stands still for about 2.5 s, and a job for it comes meanwhile.
import {runCase, sleep, TROUBLE} from '../lib-3/deployment.mjs';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

const WORK_MS = 1000;
const TRIALS = 24;
/** Kinds of worker, two workers each; those of one kind are used in turn. */
const KINDS = ['b', 'c', 'd', 'e', 'f'];
const between = (from, to) => from + Math.random() * (to - from);

await runCase(dirname(fileURLToPath(import.meta.url)), async d => {
  const broken = [];
  const workOn = (w, r) => {
    r.workMs = WORK_MS;
    if (performance.now() - r.startedAt >= WORK_MS) w.end(r, 'done');
  };
  const onRunBegun = (w, r) => {
    for (const other of d.workers.values()) {
      const run = other !== w && other.isUp && other.running.get(r.task);
      if (run)
        broken.push(
          `${r.task}: run ${r.run} began on ${w.name} while run ${run.run} was running on ${other.name}`,
        );
    }
  };
  const onListed = w => (w.listedAt = performance.now());
  await d.start({
    gates: 3,
    workers: 11,
    queues: {urgent: {}},
    worker: {workOn, onRunBegun, onListed},
    each: (name, w) => {
      const i = Number(name.slice('side-'.length)) - 1;
      w.kind = KINDS[Math.floor(i / 2)] ?? 'a';
      if (i % 2 === 0) w.cpu = 60_000; // the tighter fit
    },
  });
  const untilMs = performance.now() + 90_000;
  for (
    let i = 0;
    i < TRIALS && broken.length === 0 && performance.now() < untilMs;
    i++
  ) {
    const pair = i % KINDS.length;
    const w = d.workers.get(`side-${2 * pair + 1}`);
    w.listedAt = undefined;
    await d.waitFor('an answer to a hold', () => w.listedAt, 5000);
    const since = w.listedAt;
    if (TROUBLE) w.standStill();
    await sleep(since + between(1700, 2300) - performance.now());
    const id = d.newId();
    await d.submit('urgent', id, {
      spec: 'one task',
      steps: [
        {
          count: 1,
          cpu: 8000,
          'mem-mb': 1024,
          gpu: 1,
          'required-label': KINDS[pair],
          'est-runtime-ms': WORK_MS,
        },
      ],
    });
    await sleep(since + between(2520, 2580) - performance.now());
    if (TROUBLE) w.goOn();
    await sleep(WORK_MS);
    await d.waitFor(
      'the end of the job',
      async () => (await d.state('urgent', id)) === 'completed',
      15_000,
      200,
    );
  }
  return broken[0];
});
