/** Measures the overhead of gate and agent against direct calls to a backend server. */
import {readFileSync} from 'node:fs';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {Cluster} from '../harness/cluster.js';
import {readDeploymentFiles} from '../harness/deployment.js';
import {type ManagedProcess} from '../harness/managed_process.js';
import {sleep} from '../harness/wait.js';

const CONCURRENCIES: readonly number[] = [1, 32, 256];
const REQUEST_RUN_MS = 10;
const ROUND_DURATION_MS = 4000;
const ROUNDS = 3;
const IDLE_DURATION_MS = 10_000;
/** Unit of the CPU times in `/proc/PID/stat`. */
const CLOCK_TICKS_PER_S = 100;
const INSTANCES = 6;

interface Target {
  readonly name: string;
  call(): Promise<boolean>;
}

interface LoadResult {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failures: number;
}

/** Measures direct calls and calls through the gate alternately and prints the ratios. */
export async function measurePath(): Promise<void> {
  const files = readDeploymentFiles('foundry');
  const slots = 64;
  const cluster = await Cluster.start({
    settingsFiles: {...files, deployment: {...files.deployment, slots}},
    gateCount: 1,
    instanceCount: INSTANCES,
  });
  try {
    await measureIdle(cluster);
    const dispatcher = new Agent({connections: 512});
    const direct = directTarget(cluster, dispatcher);
    const viaGate = gateTarget(cluster, dispatcher);
    console.log(
      'callers  way       req/s     p50       p99    failures   throughput ratio  p50 diff  p99 diff',
    );
    for (const callers of CONCURRENCIES) {
      for (let round = 0; round < ROUNDS; round++) {
        const directResult = await runLoad(direct, callers);
        const gateResult = await runLoad(viaGate, callers);
        printRow(callers, direct.name, directResult);
        const ratio = (gateResult.perSecond / directResult.perSecond)
          .toFixed(3)
          .padStart(14);
        const p50 =
          `${(gateResult.p50Ms - directResult.p50Ms).toFixed(2)} ms`.padStart(
            14,
          );
        const p99 =
          `${(gateResult.p99Ms - directResult.p99Ms).toFixed(2)} ms`.padStart(
            10,
          );
        printRow(callers, viaGate.name, gateResult, `${ratio}${p50}${p99}`);
      }
    }
  } finally {
    await cluster.stop();
  }
}

function directTarget(cluster: Cluster, dispatcher: Agent): Target {
  const backends = cluster.instances.map(i => i.backend.httpUrl);
  let next = 0;
  return {
    name: 'direct',
    call: async () => {
      const res = await request(
        `${backends[next++ % backends.length]}/pitch-check`,
        {
          method: 'POST',
          headers: {'content-type': 'application/json'},
          body: JSON.stringify({id: 'm', runMs: REQUEST_RUN_MS}),
          dispatcher,
        },
      );
      await res.body.dump();
      return res.statusCode === 200;
    },
  };
}

function gateTarget(cluster: Cluster, dispatcher: Agent): Target {
  const [gate] = cluster.gates;
  const headers = {
    'content-type': 'application/json',
    authorization: `Bearer ${cluster.workspaceToken('orquesta')}`,
  };
  return {
    name: 'gate',
    call: async () => {
      const body = JSON.stringify({id: 'm', runMs: REQUEST_RUN_MS});
      const res = await request(`${gate.httpUrl}/v1/requests/pitch-check`, {
        method: 'POST',
        headers,
        body,
        dispatcher,
      });
      await res.body.dump();
      return res.headers['x-lagoonshunt-outcome'] === 'done';
    },
  };
}

async function runLoad(target: Target, callers: number): Promise<LoadResult> {
  const histogram = build({
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  const endMs = performance.now() + ROUND_DURATION_MS;
  let done = 0;
  let failures = 0;
  const sendRequests = async () => {
    while (performance.now() < endMs) {
      const startedMs = performance.now();
      if (!(await target.call())) failures++;
      histogram.recordValue(Math.round((performance.now() - startedMs) * 1000));
      done++;
    }
  };
  await Promise.all(Array.from({length: callers}, sendRequests));
  return {
    perSecond: (done * 1000) / ROUND_DURATION_MS,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000,
    failures,
  };
}

function printRow(
  callers: number,
  targetName: string,
  loadResult: LoadResult,
  comparison = '',
): void {
  const {perSecond, p50Ms, p99Ms, failures} = loadResult;
  console.log(
    `${String(callers).padStart(7)}  ${targetName.padEnd(7)} ${perSecond.toFixed(0).padStart(7)} ${p50Ms.toFixed(2).padStart(7)} ms ${p99Ms.toFixed(2).padStart(7)} ms ${String(failures).padStart(6)}${comparison}`,
  );
}

/** Measures CPU time, memory and sent bytes of an idle gate and an idle agent. */
async function measureIdle(cluster: Cluster): Promise<void> {
  await sleep(3000);
  const processes = [cluster.gates[0], cluster.instances[0].agent];
  const before = await Promise.all(processes.map(p => readUsage(cluster, p)));
  await sleep(IDLE_DURATION_MS);
  const after = await Promise.all(processes.map(p => readUsage(cluster, p)));
  console.log(`idle, with ${INSTANCES} agents and 1 gate`);
  processes.forEach((p, i) => {
    const cpu =
      ((after[i].cpuS - before[i].cpuS) / (IDLE_DURATION_MS / 1000)) * 100;
    const bytes =
      (after[i].bytesSent - before[i].bytesSent) / (IDLE_DURATION_MS / 1000);
    console.log(
      `${p.name}: ${cpu.toFixed(2)} % of a core, ${after[i].rssMb.toFixed(0)} MB, ${(bytes / 1000).toFixed(2)} KB/s sent on links`,
    );
  });
}

async function readUsage(cluster: Cluster, process: ManagedProcess) {
  const stat = readFileSync(`/proc/${process.pid}/stat`, 'utf8')
    .split(') ')[1]
    .split(' ');
  const cpuS = (Number(stat[11]) + Number(stat[12])) / CLOCK_TICKS_PER_S;
  const rssKb = Number(
    /VmRSS:\s+(\d+)/.exec(
      readFileSync(`/proc/${process.pid}/status`, 'utf8'),
    )![1],
  );
  const res = await request(`${process.httpUrl}/metrics`, {
    headers: {authorization: `Bearer ${cluster.operatorToken}`},
  });
  const bytesSent = Number(
    /lagoonshunt_link_bytes_sent (\d+)/.exec(await res.body.text())![1],
  );
  return {cpuS, rssMb: rssKb / 1000, bytesSent};
}
