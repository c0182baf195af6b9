/**
 * A process that loads the modules named in its arguments and prints its resident memory in bytes. It imports nothing
 * else, so that without arguments it shows a bare interpreter.
 */
for (const name of process.argv.slice(2)) await import(name);
await new Promise(resolve => setTimeout(resolve, 20));
process.stdout.write(`${process.memoryUsage().rss}\n`);
