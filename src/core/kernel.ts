/** Registry of plug-in factories. The process setup looks them up by kind and name. */
import {LagoonError} from './errors.js';

/** Plug-in: registers its factories with a kernel. */
export interface Plugin {
  register(kernel: Kernel): void;
}

/** Identifies one kind of component that plug-ins provide, with its factory's types. */
export interface ComponentKind<Component, Options> {
  readonly kind: string;
  /** Carries the types for the compiler; never set. */
  readonly types?: (options: Options) => Component;
}

type Factory = (options: unknown) => unknown;

export class Kernel {
  private readonly factories = new Map<string, Factory>();

  constructor(plugins: readonly Plugin[] = []) {
    for (const plugin of plugins) plugin.register(this);
  }

  /** Registers a factory; each name must be unique within its kind. */
  provide<Component, Options>(
    componentKind: ComponentKind<Component, Options>,
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

  /** Builds a component with the named factory. */
  make<Component, Options>(
    componentKind: ComponentKind<Component, Options>,
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

  /** Returns the names registered for a kind. */
  names<Component, Options>(
    componentKind: ComponentKind<Component, Options>,
  ): string[] {
    const prefix = `${componentKind.kind}/`;
    return [...this.factories.keys()]
      .filter(k => k.startsWith(prefix))
      .map(k => k.slice(prefix.length));
  }
}
