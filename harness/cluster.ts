/** Starts a complete deployment as separate processes on the loopback interface. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {
  type DeploymentFiles,
  type SettingsTemplate,
  instanceLocations,
} from './deployment.js';
import {ManagedProcess} from './managed_process.js';
import {waitUntil} from './wait.js';

const DAEMON_SCRIPT = 'dist/src/cli/main.js';
const STANDINS_SCRIPT = 'dist/standins/main.js';
const READY_TIMEOUT_MS = 20_000;

export interface ClusterOptions {
  readonly settingsFiles: DeploymentFiles;
  readonly gateCount?: number;
  readonly instanceCount?: number;
  /** Override the settings of every gate. */
  readonly gateOverrides?: SettingsTemplate;
  /** Override the settings of every agent. */
  readonly agentOverrides?: SettingsTemplate;
  /** Maps gate addresses to the addresses that agents use, such as those of relays. */
  readonly seedGatesFor?: (links: readonly string[]) => string[];
}

/** One backend server with its agent and its worker. */
export interface Instance {
  agent: ManagedProcess;
  readonly worker: ManagedProcess;
  readonly backend: ManagedProcess;
}

export class Cluster {
  readonly gates: ManagedProcess[] = [];
  readonly instances: Instance[] = [];
  table!: ManagedProcess;
  private readonly settingsDir = mkdtempSync(join(tmpdir(), 'lagoonshunt-'));

  private constructor(readonly options: ClusterOptions) {}

  /** Starts all processes and waits until every gate has applied the tables. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    try {
      await cluster.startAll();
    } catch (err) {
      await cluster.stop();
      throw err;
    }
    return cluster;
  }

  get operatorToken(): string {
    return (this.options.settingsFiles.gate.operatorTokens as string[])[0];
  }

  workspaceToken(workspace: string): string {
    const entries = this.options.settingsFiles.gate.workspaceTokens as {
      workspace: string;
      token: string;
    }[];
    return entries.find(e => e.workspace === workspace)!.token;
  }

  /** Kills all remaining processes. */
  async stop(): Promise<void> {
    const all = [
      ...this.gates,
      ...this.instances.flatMap(i => [i.agent, i.worker, i.backend]),
      this.table,
    ];
    await Promise.all(all.filter(p => p !== undefined).map(p => p.kill()));
    rmSync(this.settingsDir, {recursive: true, force: true});
  }

  async startGate(index: number): Promise<ManagedProcess> {
    const {settingsFiles: files} = this.options;
    const id = `gate-${index + 1}`;
    const {region, dataCentres} = files.deployment;
    const dataCentre = dataCentres[index % dataCentres.length];
    const settings = {
      ...files.gate,
      ...this.options.gateOverrides,
      id,
      place: {region, dataCentre},
      httpPort: 0,
      linkPort: 0,
      tableService: this.table.httpUrl,
    };
    return ManagedProcess.start(id, [
      DAEMON_SCRIPT,
      'gate',
      '--settings',
      this.writeSettings(id, settings),
    ]);
  }

  /** Starts the agent of an instance; set `announcePort` to reuse a previous port. */
  async startAgent(
    index: number,
    worker: ManagedProcess,
    announcePort = 0,
  ): Promise<ManagedProcess> {
    const {settingsFiles: files} = this.options;
    const id = `${files.deployment.service}-${index + 1}`;
    const location = {
      region: files.deployment.region,
      ...instanceLocations(files.deployment)[index],
    };
    const gateAddresses = this.gates.map(g => g.linkAddress!);
    const seedGates =
      this.options.seedGatesFor?.(gateAddresses) ?? gateAddresses;
    const settings = {
      ...files.agent,
      ...this.options.agentOverrides,
      id,
      place: location,
      announcePort,
      seedGates,
      worker: worker.httpUrl,
    };
    return ManagedProcess.start(id, [
      DAEMON_SCRIPT,
      'agent',
      '--settings',
      this.writeSettings(id, settings),
    ]);
  }

  /** Sends a request to a gate with the operator token. */
  async requestAsOperator(
    method: 'GET' | 'PUT',
    path: string,
    body?: unknown,
    ifMatch?: string,
    gate = this.gates[0],
  ) {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.operatorToken}`,
    };
    if (body !== undefined) headers['content-type'] = 'application/json';
    if (ifMatch !== undefined) headers['if-match'] = ifMatch;
    const res = await request(gate.httpUrl + path, {
      method,
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      headers: res.headers,
      json: JSON.parse(text) as never,
    };
  }

  /** Replaces a table; returns its new version. */
  async putTable(
    table: 'routes' | 'pools',
    rows: unknown,
    gate = this.gates[0],
  ): Promise<number> {
    const current = await this.requestAsOperator(
      'GET',
      `/v1/tables/${table}`,
      undefined,
      undefined,
      gate,
    );
    const res = await this.requestAsOperator(
      'PUT',
      `/v1/tables/${table}`,
      {[table]: rows},
      String(current.headers.etag),
      gate,
    );
    if (res.status !== 200)
      throw new Error(
        `could not replace table ${table}: status ${res.status}: ${JSON.stringify(res.json)}`,
      );
    return (res.json as {version: number}).version;
  }

  private async startAll(): Promise<void> {
    const {settingsFiles: files} = this.options;
    const gateCount = this.options.gateCount ?? files.deployment.gates;
    const instanceCount =
      this.options.instanceCount ?? files.deployment.instances;
    this.table = await ManagedProcess.start('table', [
      STANDINS_SCRIPT,
      'table',
    ]);
    this.gates.push(
      ...(await Promise.all(
        Array.from({length: gateCount}, (unused, i) => this.startGate(i)),
      )),
    );
    this.instances.push(
      ...(await Promise.all(
        Array.from({length: instanceCount}, (unused, i) =>
          this.startInstance(i),
        ),
      )),
    );
    await this.putTable('pools', files.tables.pools);
    await this.putTable('routes', files.tables.routes);
    await this.waitForReady(instanceCount);
  }

  async startInstance(index: number): Promise<Instance> {
    const {service, slots} = this.options.settingsFiles.deployment;
    const worker = await ManagedProcess.start(`worker-${index + 1}`, [
      STANDINS_SCRIPT,
      'worker',
    ]);
    const agent = await this.startAgent(index, worker);
    const args = [
      STANDINS_SCRIPT,
      'backend',
      '--service',
      service,
      '--slots',
      String(slots),
      '--agent',
      agent.httpUrl,
    ];
    const backend = await ManagedProcess.start(`backend-${index + 1}`, args);
    return {agent, worker, backend};
  }

  private async waitForReady(agentCount: number): Promise<void> {
    await waitUntil(
      'all gates see all serving agents and both tables',
      READY_TIMEOUT_MS,
      async () => {
        for (const gate of this.gates) {
          const {json} = await this.requestAsOperator(
            'GET',
            '/v1/status',
            undefined,
            undefined,
            gate,
          );
          const status = json as {
            ready: boolean;
            versions: {pools: number};
            agents: {announcement: {state: string}}[];
            pools: {owner?: string}[];
          };
          const servingCount = status.agents.filter(
            a => a.announcement.state === 'serving',
          ).length;
          const allPoolsOwned =
            status.pools.length > 0 &&
            status.pools.every(p => p.owner !== undefined);
          if (
            !status.ready ||
            status.versions.pools === 0 ||
            servingCount < agentCount ||
            !allPoolsOwned
          )
            return false;
        }
        return true;
      },
    );
  }

  private writeSettings(id: string, settings: SettingsTemplate): string {
    const file = join(this.settingsDir, `${id}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return file;
  }
}
