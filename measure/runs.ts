/** Prints from log files the runs of tasks that were started more than once. */
import {readFileSync} from 'node:fs';
import {describeInterval, RunHistory} from './run_history.js';

/**
 * Prints the tasks with several runs, or those whose name starts with `--task`, then the
 * overlaps. Returns the number of overlaps.
 */
export function reportRuns(args: readonly string[]): number {
  const {task, files} = parseArguments(args);
  const {history, unreadableLines} = RunHistory.fromLines(
    files.flatMap(file => readFileSync(file, 'utf8').split('\n')),
  );
  const overlaps = history.overlaps();
  for (const name of history.tasks()) {
    const runs = history.intervalsOf(name);
    if (task === undefined ? runs.length < 2 : !name.startsWith(task)) continue;
    console.log(`${name}\n${runs.map(describeInterval).join('\n')}`);
    for (const {earlier, later} of overlaps.filter(o => o.later.task === name))
      console.log(
        `  OVERLAP: run ${later.run} on ${later.worker} was started before run ${earlier.run} on ${earlier.worker} was proven to be over`,
      );
  }
  console.log(
    `${history.intervals.length} runs of ${history.tasks().length} tasks, ${overlaps.length} overlaps; ${unreadableLines} lines are no events`,
  );
  return overlaps.length;
}

function parseArguments(args: readonly string[]): {
  readonly task: string | undefined;
  readonly files: readonly string[];
} {
  if (args[0] !== '--task') return {task: undefined, files: args};
  return {task: args[1], files: args.slice(2)};
}
