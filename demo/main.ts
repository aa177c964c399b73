/**
 * Runs a complete deployment on one machine as separate processes and checks every
 * response against its request. Exits with code 0 if all checks pass and with 1
 * otherwise. It uses the settings of `foundry`; `npm run demo -- consortium` uses those
 * of `consortium`.
 */
import {request} from 'undici';
import {
  type CallResult,
  isResponseTo,
  submitRequest,
} from '../harness/caller.js';
import {Cluster} from '../harness/cluster.js';
import {readDeploymentFiles} from '../harness/deployment.js';
import {waitUntil} from '../harness/wait.js';

const PLAIN_REQUESTS = 200;
const KEYED_REQUESTS = 50;
const GANGS = 4;
const QUICK_RUN_MS = 5;
const SLOW_RUN_MS = 100;
/** Target time until every process has applied a table edit, in ms. */
const EDIT_TARGET_MS = 3000;

interface RequestKinds {
  readonly plain: string;
  readonly keyed: string;
  readonly gang: string;
  readonly workspace: string;
}

const KINDS_BY_USER: Readonly<Record<string, RequestKinds>> = {
  foundry: {
    plain: 'pitch-check',
    keyed: 'chime-fit',
    gang: 'modal-sweep',
    workspace: 'orquesta',
  },
  consortium: {
    plain: 'order-status',
    keyed: 'bulk-order',
    gang: 'reconciliation',
    workspace: 'lanka-tags',
  },
};

class Demo {
  private readonly counts = new Map<string, number>();
  private readonly failures: string[] = [];
  private nextRequestNumber = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly kinds: RequestKinds,
  ) {}

  async run(): Promise<boolean> {
    await this.runPlainRequests('plain requests', PLAIN_REQUESTS);
    await this.runKeyedRequests();
    await this.runGangs();
    await this.editTables();
    await this.runWhileBackendLeaves();
    await this.runDuringGracefulStop();
    await this.printReport();
    return this.failures.length === 0;
  }

  private call(
    kind: string,
    body: object,
    key?: string,
  ): Promise<CallResult & {requestId: string}> {
    const id = `demo-${this.nextRequestNumber++}`;
    const gates = this.cluster.gates.filter(g => g.isRunning);
    const gate = gates[this.nextRequestNumber % gates.length].httpUrl;
    return submitRequest({
      gateUrl: gate,
      token: this.cluster.workspaceToken(this.kinds.workspace),
      kind,
      body: {id, ...body},
      idempotencyKey: key,
    }).then(r => ({...r, requestId: id}));
  }

  /** Counts the outcome; records a failure unless it is a matching `done` response. */
  private check(step: string, result: CallResult, requestId: string): void {
    const label = `${step}: ${result.outcome}`;
    this.counts.set(label, (this.counts.get(label) ?? 0) + 1);
    if (result.outcome !== 'done')
      this.failures.push(
        `${step}: request ${requestId} ended with outcome ${result.outcome}: ${result.body}`,
      );
    else if (!isResponseTo(result, requestId))
      this.failures.push(
        `${step}: request ${requestId} got the response of another request: ${result.body}`,
      );
  }

  private async runPlainRequests(
    step: string,
    count: number,
    runMs = QUICK_RUN_MS,
  ): Promise<void> {
    const results = await Promise.all(
      Array.from({length: count}, () => this.call(this.kinds.plain, {runMs})),
    );
    for (const result of results) this.check(step, result, result.requestId);
  }

  private async runKeyedRequests(): Promise<void> {
    const results = await Promise.all(
      Array.from({length: KEYED_REQUESTS}, (unused, i) =>
        this.call(this.kinds.keyed, {runMs: 5}, `demo-key-${i}`),
      ),
    );
    for (const result of results)
      this.check('requests with a key', result, result.requestId);
    const first = results[0];
    const repeatedResult = await submitRequest({
      gateUrl: this.cluster.gates[this.cluster.gates.length - 1].httpUrl,
      token: this.cluster.workspaceToken(this.kinds.workspace),
      kind: this.kinds.keyed,
      body: {id: first.requestId, runMs: 5},
      idempotencyKey: 'demo-key-0',
    });
    this.check(
      'same key sent again to another gate',
      repeatedResult,
      first.requestId,
    );
  }

  private async runGangs(): Promise<void> {
    const results = await Promise.all(
      Array.from({length: GANGS}, () =>
        this.call(this.kinds.gang, {runMs: 300}),
      ),
    );
    for (const result of results) this.check('gangs', result, result.requestId);
  }

  /** Edits each table once; every process must apply the edit within the target time. */
  private async editTables(): Promise<void> {
    const {tables} = this.cluster.options.settingsFiles;
    const routes = [...tables.routes, {...tables.routes[0], kind: 'demo-kind'}];
    const pools = tables.pools.map(p => ({
      ...p,
      workspaces: [...p.workspaces, {name: 'demo-guest', guarantee: []}],
    }));
    for (const [table, rows] of [
      ['routes', routes],
      ['pools', pools],
    ] as const) {
      const startedMs = performance.now();
      const version = await this.cluster.putTable(table, rows);
      await this.waitForVersion(table, version);
      const elapsedMs = performance.now() - startedMs;
      console.log(
        `edit of ${table}: applied by every process after ${Math.round(elapsedMs)} ms`,
      );
      if (elapsedMs > EDIT_TARGET_MS)
        this.failures.push(
          `edit of ${table} took ${Math.round(elapsedMs)} ms, which exceeds the target`,
        );
    }
  }

  private async waitForVersion(
    table: 'routes' | 'pools',
    version: number,
  ): Promise<void> {
    await waitUntil(
      `version ${version} of ${table} is applied everywhere`,
      20_000,
      async () => {
        for (const gate of this.cluster.gates.filter(g => g.isRunning)) {
          const {json} = await this.cluster.requestAsOperator(
            'GET',
            '/v1/status',
            undefined,
            undefined,
            gate,
          );
          const status = json as {
            versions: Record<string, number>;
            agentVersions: {versions: Record<string, number>}[];
          };
          if (
            [status, ...status.agentVersions].some(
              s => s.versions[table] < version,
            )
          )
            return false;
        }
        return true;
      },
    );
  }

  private async runWhileBackendLeaves(): Promise<void> {
    const {backend} = this.cluster.instances[0];
    await request(`${backend.httpUrl}/leave`, {method: 'POST'}).then(r =>
      r.body.dump(),
    );
    await this.runPlainRequests(
      'requests while a backend server leaves',
      PLAIN_REQUESTS,
    );
  }

  private async runDuringGracefulStop(): Promise<void> {
    const load = this.runPlainRequests(
      'requests while a gate and an agent stop',
      PLAIN_REQUESTS,
      SLOW_RUN_MS,
    );
    const gate = this.cluster.gates[0];
    const agent = this.cluster.instances[1].agent;
    const codes = await Promise.all([gate.stop(), agent.stop()]);
    await load;
    if (codes.some(code => code !== 0))
      this.failures.push(
        `graceful stops ended with exit codes ${codes.join(', ')}; expected 0`,
      );
    await this.runPlainRequests('requests after the stop', PLAIN_REQUESTS);
  }

  private async printReport(): Promise<void> {
    for (const [label, count] of this.counts) console.log(`${label}: ${count}`);
    const runs = await Promise.all(
      this.cluster.instances.map(i => fetchRuns(i.backend.httpUrl)),
    );
    const runsPerRequest = new Map<string, number>();
    for (const {id} of runs.flat())
      runsPerRequest.set(id, (runsPerRequest.get(id) ?? 0) + 1);
    const repeatedRequestCount = [...runsPerRequest.values()].filter(
      n => n > 1,
    ).length;
    const disconnectedCount = runs.flat().filter(r => r.cut).length;
    console.log(
      `runs on backend servers: ${runs.flat().length}, repeated: ${repeatedRequestCount}, disconnected: ${disconnectedCount}`,
    );
    if (repeatedRequestCount > 0)
      this.failures.push(`${repeatedRequestCount} requests ran more than once`);
    const gate = this.cluster.gates.find(g => g.isRunning)!;
    const {json} = await this.cluster.requestAsOperator(
      'GET',
      '/v1/status',
      undefined,
      undefined,
      gate,
    );
    const status = json as {
      versions: object;
      agentVersions: {agent: string; versions: object}[];
    };
    console.log(
      `configuration at ${gate.name}: ${JSON.stringify(status.versions)}`,
    );
    for (const {agent, versions} of status.agentVersions)
      console.log(`configuration at ${agent}: ${JSON.stringify(versions)}`);
    for (const text of this.failures) console.log(`FAILED: ${text}`);
    console.log(
      this.failures.length === 0
        ? 'all checks passed'
        : `${this.failures.length} checks failed`,
    );
  }
}

interface BackendRun {
  readonly id: string;
  readonly cut: boolean;
}

async function fetchRuns(backend: string): Promise<BackendRun[]> {
  const res = await request(`${backend}/runs`);
  return ((await res.body.json()) as {runs: BackendRun[]}).runs;
}

const user = process.argv[2] ?? 'foundry';
if (!(user in KINDS_BY_USER)) {
  console.error(
    `no settings for "${user}"; use one of ${Object.keys(KINDS_BY_USER).join(', ')}`,
  );
  process.exit(2);
}
console.log(`starting the processes of ${user}`);
const cluster = await Cluster.start({settingsFiles: readDeploymentFiles(user)});
let passed = false;
try {
  passed = await new Demo(cluster, KINDS_BY_USER[user]).run();
} finally {
  await cluster.stop();
}
process.exit(passed ? 0 : 1);
