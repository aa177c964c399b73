/** Kernel: plug-ins register factories by kind and name; the wiring looks them up. */
import {LagoonError} from './errors.js';

/** Something that adds factories to a kernel. */
export interface Plugin {
  register(kernel: Kernel): void;
}

/** Names one kind of part that plug-ins provide, with the types of its factory. */
export interface PartKind<Component, Options> {
  readonly kind: string;
  /** Carries the types; never set. */
  readonly types?: (options: Options) => Component;
}

type Factory = (options: unknown) => unknown;

export class Kernel {
  private readonly factories = new Map<string, Factory>();

  constructor(plugins: readonly Plugin[] = []) {
    for (const plugin of plugins) plugin.register(this);
  }

  /** Adds a factory; each name may be taken once per kind. */
  provide<Component, Options>(
    componentKind: PartKind<Component, Options>,
    name: string,
    factory: (options: Options) => Component,
  ): void {
    const key = `${componentKind.kind}/${name}`;
    if (this.factories.has(key))
      throw new LagoonError(
        `plug-in "${key}" is registered twice; register it once`,
      );
    this.factories.set(key, factory as Factory);
  }

  /** Builds a part with the named factory. */
  make<Component, Options>(
    componentKind: PartKind<Component, Options>,
    name: string,
    options: Options,
  ): Component {
    const factory = this.factories.get(`${componentKind.kind}/${name}`);
    if (!factory)
      throw new LagoonError(
        `no plug-in "${componentKind.kind}/${name}"; registered: ${this.names(componentKind).join(', ') || 'none'}`,
      );
    return factory(options) as Component;
  }

  /** Names registered for a kind. */
  names<Component, Options>(
    componentKind: PartKind<Component, Options>,
  ): string[] {
    const prefix = `${componentKind.kind}/`;
    return [...this.factories.keys()]
      .filter(k => k.startsWith(prefix))
      .map(k => k.slice(prefix.length));
  }
}
