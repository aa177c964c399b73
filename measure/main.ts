/** Runs one of the measurements `path`, `policy` and `scale`. */
import {measurePath} from './path.js';
import {measurePolicy} from './policy.js';
import {measureScale} from './scale.js';

const [measurementName, argument] = process.argv.slice(2);
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
  default:
    console.error('expected a measurement: path, policy or scale');
    process.exit(2);
}
