/** Starts child processes and kills them when this process exits. */
import {type ChildProcess, spawn, type SpawnOptions} from 'node:child_process';
import {createInterface} from 'node:readline';

const START_TIMEOUT_MS = 20_000;

/** First line that each process prints, as JSON. */
interface ReadyLine {
  readonly ready: string;
  readonly http: string;
  readonly link?: string;
}

export class ManagedProcess {
  readonly exited: Promise<number | null>;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    readonly httpUrl: string,
    readonly linkAddress: string | undefined,
  ) {
    this.exited = waitForExit(child);
  }

  /** Starts a Node.js program and waits for its ready line. */
  static async start(
    name: string,
    args: readonly string[],
  ): Promise<ManagedProcess> {
    const child = spawnChild(process.execPath, args, {
      stdio: ['ignore', 'pipe', process.env.SHOW_LOGS ? 'inherit' : 'ignore'],
    });
    const lines = createInterface({input: child.stdout!});
    const ready = await new Promise<ReadyLine>((resolve, reject) => {
      const timer = setTimeout(
        () =>
          reject(
            new Error(
              `${name} did not start within ${START_TIMEOUT_MS} ms; set SHOW_LOGS=1 to see its log`,
            ),
          ),
        START_TIMEOUT_MS,
      );
      lines.once('line', line => {
        clearTimeout(timer);
        resolve(JSON.parse(line) as ReadyLine);
      });
      child.once('exit', code =>
        reject(
          new Error(
            `${name} exited with code ${code} before it was ready; set SHOW_LOGS=1 to see its log`,
          ),
        ),
      );
    });
    return new ManagedProcess(name, child, ready.http, ready.link);
  }

  get pid(): number {
    return this.child.pid!;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal to this process only. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Kills the process with SIGKILL and waits until it has exited. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Requests a graceful stop with SIGTERM; returns the exit code. */
  async stop(): Promise<number | null> {
    this.signal('SIGTERM');
    return this.exited;
  }
}

const children = new Set<ChildProcess>();

// Kills all children, so that none keeps running if this process exits early.
process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

function spawnChild(
  program: string,
  args: readonly string[],
  options: SpawnOptions,
): ChildProcess {
  const child = spawn(program, args, options);
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null) return Promise.resolve(child.exitCode);
  return new Promise(resolve => {
    child.once('exit', code => resolve(code));
  });
}
