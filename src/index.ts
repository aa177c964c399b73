/** Public API of the library. */
export {type Clock, ManualClock} from './core/clock.js';
export {Kernel, type Plugin} from './core/kernel.js';
export {type Route, type Pool, type Shape} from './core/tables.js';
export {type Daemon} from './daemons/daemon.js';
export {makeDaemon, makeKernel} from './daemons/make_daemon.js';
export {BACKEND_SERVER, BackendServer} from './ports/backend_server.js';
export {TABLE_SERVICE, TableService} from './ports/table_service.js';
export {
  GANG_WORKER as WORKER,
  GangWorker as Worker,
} from './ports/gang_worker.js';
export {
  GuaranteePlanner,
  type PlannerOptions,
} from './planning/guarantee_planner.js';
export {PoolPlanner} from './planning/pool_planner.js';
export {
  type AgentSettings,
  type GateSettings,
  type Settings,
} from './protocol/settings.js';
