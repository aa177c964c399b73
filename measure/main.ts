/** Runs one of the measurements `path`, `policy` and `scale`, or reads logs (`runs`). */
import {measurePath} from './path.js';
import {measurePolicy} from './policy.js';
import {reportRuns} from './runs.js';
import {measureScale} from './scale.js';

const [measurementName, ...args] = process.argv.slice(2);
const [argument] = args;
switch (measurementName) {
  case 'path':
    await measurePath();
    break;
  case 'policy':
    for (const user of ['foundry', 'consortium'])
      measurePolicy(user, argument ? Number(argument) : undefined);
    break;
  case 'scale':
    measureScale();
    break;
  case 'runs':
    if (reportRuns(args) > 0) process.exitCode = 1;
    break;
  default:
    console.error('expected a measurement: path, policy, scale or runs');
    process.exit(2);
}
