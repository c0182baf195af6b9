/** A bounded FIFO queue with one asynchronous reader. Iteration ends when the channel is closed and empty. */
export class Channel<Item> implements AsyncIterable<Item> {
    private items: Item[] = [];
    private readIndex = 0;
    private closed = false;
    private wakeReader: (() => void) | undefined;

    private constructor(private readonly capacity: number) {}

    /** A channel that holds at most `capacity` unread items. */
    static create<Item>(capacity: number): Channel<Item> {
        return new Channel<Item>(capacity);
    }

    /** Adds an item. Returns false when the channel is closed or full. */
    push(item: Item): boolean {
        if (this.closed || this.items.length - this.readIndex >= this.capacity) return false;
        this.items.push(item);
        this.resumeReader();
        return true;
    }

    /** Accepts no more items. The reader still receives those that are queued. */
    close(): void {
        this.closed = true;
        this.resumeReader();
    }

    async *[Symbol.asyncIterator](): AsyncIterator<Item> {
        for (;;) {
            while (this.readIndex < this.items.length) {
                const item = this.items[this.readIndex] as Item;
                this.readIndex += 1;
                this.compact();
                yield item;
            }
            if (this.closed) return;
            await new Promise<void>(resolve => {
                this.wakeReader = resolve;
            });
        }
    }

    private resumeReader(): void {
        const wake = this.wakeReader;
        this.wakeReader = undefined;
        wake?.();
    }

    /** Drops the items that were read, in batches, since removing from the front of an array takes linear time. */
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
