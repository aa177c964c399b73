/** Rows of jobs: what is kept of each, and how it is encoded. */
import {Packr} from 'msgpackr';
import * as z from 'zod';
import {ProtocolError} from '../core/errors.js';
import {pickByRendezvous} from '../core/rendezvous.js';
import {type JobSpec} from './job.js';

/** State of a task as it is kept in the store. */
export const TaskState = {
  WAITING: 0,
  /** Recorded before its order is given; ends only by an end that is recorded. */
  PLACED: 1,
  DONE: 2,
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** What must be remembered of one task. */
export interface TaskRecord {
  readonly state: TaskState;
  /** Number of the newest start; 0 when it was never started. */
  readonly run: number;
  /** Incarnation of the worker that it is placed on; empty when it is not. */
  readonly worker: string;
  readonly checkpoint: string;
  /** Runs that ended as failed. */
  readonly failures: number;
}

export const UNSTARTED_TASK: TaskRecord = {
  state: TaskState.WAITING,
  run: 0,
  worker: '',
  checkpoint: '',
  failures: 0,
};

/** How a job ended. A cancellation is a row of its own. */
export const JobResult = {COMPLETED: 'completed', FAILED: 'failed'} as const;
export type JobResult = (typeof JobResult)[keyof typeof JobResult];

/** Tasks of a step are kept in blocks, so that a wide step stays below the size of a row. */
export const BLOCK_TASKS = 256;

export interface BlockRef {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly block: number;
}

/** Key of a block among those of its job. */
export function blockKey(ref: BlockRef): string {
  return `${ref.occurrence}.${ref.step}.${ref.block}`;
}

/** Key of the row of a block. */
export function blockRowKey(job: string, block: string): string {
  return `run/${job}.${block}`;
}

/** Keys of rows. One prefix a kind, so that one feed carries all of them in order. */
export const rowKeys = {
  seat: 'seat',
  gate: (name: string): string => `gate/${name}`,
  job: (id: string): string => `job/${id}`,
  cancellation: (id: string): string => `cancel/${id}`,
  fate: (id: string): string => `fate/${id}`,
  block: (b: BlockRef): string => blockRowKey(b.job, blockKey(b)),
};

export type RowKind =
  | {readonly kind: 'seat'}
  | {readonly kind: 'gate'; readonly name: string}
  | {readonly kind: 'job'; readonly job: string}
  | {readonly kind: 'cancel'; readonly job: string}
  | {readonly kind: 'fate'; readonly job: string}
  | {readonly kind: 'run'; readonly ref: BlockRef};

/** Tells what a row holds; undefined for a key that is not ours. */
export function parseRowKey(key: string): RowKind | undefined {
  if (key === rowKeys.seat) return {kind: 'seat'};
  const slash = key.indexOf('/');
  const kind = key.slice(0, slash);
  const name = key.slice(slash + 1);
  if (kind === 'gate') return {kind, name};
  if (kind === 'job' || kind === 'cancel' || kind === 'fate')
    return {kind, job: name};
  if (kind !== 'run') return undefined;
  const [job, ...numbers] = name.split('.');
  const [occurrence, step, block] = numbers.map(Number);
  return {kind, ref: {job, occurrence, step, block}};
}

/** Group of all rows that the seat holder commits. */
const LEADER_GROUP = 'jobs';
/**
 * Groups of the rows that any gate writes for its callers. They are kept apart from the
 * records, since a slow store carries out the transactions of one group after another.
 */
const CALLER_GROUPS = ['calls-0', 'calls-1', 'calls-2', 'calls-3'] as const;

export const ROW_GROUPS: readonly string[] = [LEADER_GROUP, ...CALLER_GROUPS];

/** Group of a row, or of all rows whose keys start with a prefix that names a job. */
export function groupOf(key: string): string {
  const kind = parseRowKey(key);
  if (kind?.kind !== 'job' && kind?.kind !== 'cancel') return LEADER_GROUP;
  return pickByRendezvous(kind.job, CALLER_GROUPS)!;
}

const packr = new Packr({useRecords: false});

const resourcesSchema = z.object({
  cpu: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});
const jobSchema: z.ZodType<JobSpec> = z.object({
  id: z.string(),
  queue: z.string(),
  workspace: z.string().optional(),
  acceptedWallMs: z.number(),
  payload: z.string(),
  steps: z.array(
    z.object({
      count: z.number(),
      request: resourcesSchema,
      estimateMs: z.number(),
      after: z.array(z.number()),
      checkpointing: z.boolean(),
      gang: z.boolean(),
      sameRack: z.boolean(),
      preferredRack: z.string().optional(),
      requiredLabel: z.string().optional(),
      maxPerWorker: z.number().optional(),
    }),
  ),
  schedule: z
    .object({
      occurrences: z.number(),
      firstWallMs: z.number(),
      intervalMs: z.number(),
    })
    .optional(),
  queueAtHandIn: z.object({
    name: z.string(),
    service: z.string(),
    priority: z.number(),
    maxAttempts: z.number(),
    stretch: z.number(),
    targetMs: z.number(),
  }),
});
const jobResultSchema = z.enum([JobResult.COMPLETED, JobResult.FAILED]);
const blockSchema = z.array(
  z.tuple([
    z.literal([TaskState.WAITING, TaskState.PLACED, TaskState.DONE]),
    z.number(),
    z.string(),
    z.string(),
    z.number(),
  ]),
);

function decode<T>(
  rowName: string,
  value: Uint8Array,
  schema: z.ZodType<T>,
): T {
  let data: unknown;
  try {
    data = packr.unpack(value);
  } catch (err) {
    throw new ProtocolError(
      `expected a ${rowName} row, found bytes that can't be decoded; check that no other program writes the table`,
      {cause: err},
    );
  }
  const result = schema.safeParse(data);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new ProtocolError(
    `a ${rowName} row does not match its schema at ${issue.path.join('.')}: ${issue.message}; check that all processes run the same version`,
  );
}

export function encodeJob(job: JobSpec): Uint8Array {
  return packr.pack(job);
}

export function decodeJob(value: Uint8Array): JobSpec {
  return decode('job', value, jobSchema);
}

export function encodeJobResult(result: JobResult): Uint8Array {
  return packr.pack(result);
}

export function decodeFate(value: Uint8Array): JobResult {
  return decode('fate', value, jobResultSchema);
}

export function encodeBlock(tasks: readonly TaskRecord[]): Uint8Array {
  return packr.pack(
    tasks.map(t => [t.state, t.run, t.worker, t.checkpoint, t.failures]),
  );
}

export function decodeBlock(value: Uint8Array): TaskRecord[] {
  return decode('run', value, blockSchema).map(
    ([state, run, worker, checkpoint, failures]) => ({
      state,
      run,
      worker,
      checkpoint,
      failures,
    }),
  );
}

/** The row of the gate that schedules. */
export interface SeatRow {
  /** Grows with each change of the holder; the fencing token of all orders. */
  readonly epoch: number;
  /** Incarnation of the holder; empty when the seat was given up. */
  readonly holder: string;
  /** Number of the holder's commit; makes each write of the row distinct. */
  readonly commit: number;
}

const leaderRowSchema = z.object({
  epoch: z.number(),
  holder: z.string(),
  commit: z.number(),
});

export function encodeSeat(row: SeatRow): Uint8Array {
  return packr.pack(row);
}

export function decodeSeat(value: Uint8Array): SeatRow {
  return decode('seat', value, leaderRowSchema);
}

/** The row with which a gate makes its address known. */
export interface GateRow {
  readonly address: string;
  readonly incarnation: string;
  readonly writtenWallMs: number;
}

const gateSchema = z.object({
  address: z.string(),
  incarnation: z.string(),
  writtenWallMs: z.number(),
});

export function encodeGate(gate: GateRow): Uint8Array {
  return packr.pack(gate);
}

export function decodeGate(value: Uint8Array): GateRow {
  return decode('gate', value, gateSchema);
}

/** Written for a cancelled job; its version decides whether it came before the end. */
export function encodeCancellation(): Uint8Array {
  return packr.pack(true);
}
