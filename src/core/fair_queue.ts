/** Queue of waiting requests, by class, then fair between workspaces, then by age. */
import {JobClass} from './outcome.js';

/** Properties by which the queue orders its entries. */
export interface QueueEntry {
  readonly req: string;
  readonly class: JobClass;
  readonly workspace: string;
}

const CLASS_ORDER: readonly JobClass[] = [
  JobClass.URGENT,
  JobClass.NORMAL,
  JobClass.BATCH,
];

export class FairQueue<T extends QueueEntry> {
  private readonly lanes = new Map<JobClass, Map<string, Map<string, T>>>();
  private count = 0;

  get size(): number {
    return this.count;
  }

  push(entry: T): void {
    const lane = this.laneOf(entry);
    if (lane.has(entry.req)) return;
    lane.set(entry.req, entry);
    this.count++;
  }

  remove(entry: T): boolean {
    const byWorkspace = this.lanes.get(entry.class);
    const lane = byWorkspace?.get(entry.workspace);
    if (!lane?.delete(entry.req)) return false;
    if (lane.size === 0) byWorkspace!.delete(entry.workspace);
    this.count--;
    return true;
  }

  /**
   * Removes and returns the oldest entry of the most urgent class that has entries.
   * Within the class, the workspace with the lowest `inUse` takes precedence.
   */
  take(inUse: (workspace: string) => number): T | undefined {
    for (const jobClass of CLASS_ORDER) {
      const byWorkspace = this.lanes.get(jobClass);
      if (!byWorkspace || byWorkspace.size === 0) continue;
      const workspace = leastUsed([...byWorkspace.keys()], inUse);
      const [entry] = byWorkspace.get(workspace)!.values();
      this.remove(entry);
      return entry;
    }
    return undefined;
  }

  private laneOf(entry: T): Map<string, T> {
    const byWorkspace = getOrAdd(
      this.lanes,
      entry.class,
      () => new Map<string, Map<string, T>>(),
    );
    return getOrAdd(byWorkspace, entry.workspace, () => new Map<string, T>());
  }
}

function leastUsed(
  workspaces: readonly string[],
  inUse: (workspace: string) => number,
): string {
  return workspaces.reduce((best, w) => (inUse(w) < inUse(best) ? w : best));
}

/** Returns the value at a key; creates it first when it is missing. */
export function getOrAdd<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  const found = map.get(key);
  if (found !== undefined) return found;
  const created = create();
  map.set(key, created);
  return created;
}
