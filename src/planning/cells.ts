/** Converts the shape of a job or a guarantee to a list of cells. */
import {type Shape, ShapeLevel} from '../core/tables.js';

/** Unit of allocation within a shape. */
export type Cell =
  /** A block of `size` accelerators of one worker; `size` is a power of two. */
  | {readonly kind: 'block'; readonly size: number}
  /** `count` whole workers of one rack. */
  | {readonly kind: 'workers'; readonly count: number};

/**
 * Splits a shape into its cells, largest first. `acceleratorsPerWorker` is the number
 * of accelerators of one worker.
 */
export function cellsOf(shape: Shape, acceleratorsPerWorker: number): Cell[] {
  const cells = shape.flatMap(({accelerators, level, count}) => {
    const cell = cellOf(accelerators, level, acceleratorsPerWorker);
    return Array.from({length: count}, () => cell);
  });
  return cells.sort(
    (a, b) =>
      cellSize(b, acceleratorsPerWorker) - cellSize(a, acceleratorsPerWorker),
  );
}

function cellOf(
  accelerators: number,
  level: ShapeLevel,
  acceleratorsPerWorker: number,
): Cell {
  const workers = Math.ceil(accelerators / acceleratorsPerWorker);
  if (level === ShapeLevel.RACK && workers > 1) {
    return {kind: 'workers', count: workers};
  }
  if (level === ShapeLevel.RACK)
    return {kind: 'block', size: acceleratorsPerWorker};
  return {kind: 'block', size: 2 ** Math.ceil(Math.log2(accelerators))};
}

/** Returns the number of accelerators of a cell. */
export function cellSize(cell: Cell, acceleratorsPerWorker: number): number {
  return cell.kind === 'block' ? cell.size : cell.count * acceleratorsPerWorker;
}

/** Returns the number of accelerators of several cells. */
export function totalSize(
  cells: readonly Cell[],
  acceleratorsPerWorker: number,
): number {
  return cells.reduce(
    (sum, cell) => sum + cellSize(cell, acceleratorsPerWorker),
    0,
  );
}

/** Returns a key that is the same for equal lists of cells. */
export function signatureOf(cells: readonly Cell[]): string {
  return cells
    .map(c => (c.kind === 'block' ? `b${c.size}` : `w${c.count}`))
    .join(',');
}
