/* global URL */
/**
 * A worker drains, and works on past the earliest end that it announced. It is cut off for
 * three seconds, and the cut refuses connections. Its run is then started a second time,
 * while the first one works on.
 */
import {fileURLToPath} from 'node:url';
import {sleep} from '../standins/http.mjs';
import {Cluster, makeConfiguration, makeJob} from '../standins/cluster.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const GATES = 3;
const WORKERS = 7; // one of them is 0.143 of all
const ID = '5c0e7a21d94b36f8';
const REQUEST = {cpu: 11_000, 'mem-mb': 33_000, gpu: 1};
const WORK_MS = 10_000;
/** Earliest end that the worker announces, in ms from the notice. */
const DRAIN_MS = 3500;
/** Time from the notice to the cut. */
const CUT_AFTER_MS = 4000;
const CUT_MS = 3000;
const EXIT = {HELD: 0, BROKEN: 1, NOT_RUN: 2};

async function play(cluster) {
  await cluster.start({
    gates: GATES,
    sides: WORKERS,
    configuration: makeConfiguration(),
    hasProxies: true,
  });
  if (!(await cluster.waitUntilReady())) return EXIT.NOT_RUN;
  await sleep(3000);
  const job = makeJob({workMs: WORK_MS, request: REQUEST});
  if ((await cluster.submit(ID, job)) !== 200) return EXIT.NOT_RUN;
  const find = event => cluster.workerLines.find(l => l.event === event);
  if (!(await cluster.waitUntil(() => find('start'), 5000)))
    return EXIT.NOT_RUN;
  const side = cluster.sides.find(s => s.worker.id === find('start').worker);
  cluster.drain(side, DRAIN_MS);
  await sleep(CUT_AFTER_MS);
  if (HAS_TROUBLE) {
    cluster.record(side.name, 'cut between the worker and all machines');
    side.toWorker.close();
    side.toAgent.close();
    await sleep(CUT_MS);
    await Promise.all([side.toWorker.open(), side.toAgent.open()]);
    cluster.record(side.name, 'cut is over');
  }
  const isCompleted = async () =>
    (await cluster.call('GET', ID)).body?.state === 'completed';
  const hasCompleted = await cluster.waitUntil(isCompleted, 40_000, 500);
  cluster.leave(side);
  await sleep(1000);
  const twice = cluster.findTwice();
  const text = twice.length > 0 ? twice.join('; ') : 'no task ran twice';
  cluster.record('check', text);
  console.log(text);
  if (twice.length > 0) return EXIT.BROKEN;
  return hasCompleted ? EXIT.HELD : EXIT.NOT_RUN;
}

const cluster = new Cluster(FOLDER);
let code = EXIT.NOT_RUN;
try {
  code = await play(cluster);
} finally {
  await cluster.stop();
}
process.exitCode = code;
