/** A bounded first-in, first-out channel with one reader, which ends when it is closed. */
export class Channel<Item> implements AsyncIterable<Item> {
    private items: Item[] = [];
    private readIndex = 0;
    private ended = false;
    private wake: (() => void) | undefined;

    private constructor(private readonly capacity: number) {}

    /** A channel that holds at most `capacity` items that were not read yet. */
    static create<Item>(capacity: number): Channel<Item> {
        return new Channel<Item>(capacity);
    }

    /** Adds an item. Returns false when the channel is closed or full. */
    push(item: Item): boolean {
        if (this.ended || this.items.length - this.readIndex >= this.capacity) return false;
        this.items.push(item);
        this.notify();
        return true;
    }

    /** Ends the channel after the items that are already in it. */
    close(): void {
        this.ended = true;
        this.notify();
    }

    async *[Symbol.asyncIterator](): AsyncIterator<Item> {
        for (;;) {
            while (this.readIndex < this.items.length) {
                const item = this.items[this.readIndex] as Item;
                this.readIndex += 1;
                this.compact();
                yield item;
            }
            if (this.ended) return;
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }

    private notify(): void {
        const wake = this.wake;
        this.wake = undefined;
        wake?.();
    }

    /** Drops items that were read; done in batches, since removal from the front is linear. */
    private compact(): void {
        if (this.readIndex === this.items.length) {
            this.items = [];
            this.readIndex = 0;
        } else if (this.readIndex >= 1_024) {
            this.items = this.items.slice(this.readIndex);
            this.readIndex = 0;
        }
    }
}
