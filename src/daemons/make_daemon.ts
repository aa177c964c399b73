/** Assembles the components of a process. */
import {Kernel} from '../core/kernel.js';
import {httpBackendServerPlugin} from '../plugins/http_backend_server.js';
import {httpTableServicePlugin} from '../plugins/http_table_service.js';
import {httpGangWorkerPlugin} from '../plugins/http_gang_worker.js';
import {type Settings} from '../protocol/settings.js';
import {AgentDaemon} from './agent_daemon.js';
import {type Daemon} from './daemon.js';
import {GateDaemon} from './gate_daemon.js';

/** Creates a kernel with the built-in plug-ins. */
export function makeKernel(): Kernel {
  return new Kernel([
    httpTableServicePlugin,
    httpBackendServerPlugin,
    httpGangWorkerPlugin,
  ]);
}

/** Creates the gate or agent that the settings describe. */
export function makeDaemon(settings: Settings, kernel = makeKernel()): Daemon {
  return settings.role === 'gate'
    ? new GateDaemon(settings, kernel)
    : new AgentDaemon(settings, kernel);
}
