/** Weight of something learned some time ago, from 1 to 0. Both times are in milliseconds; it halves with each half-life. */
export function halfLifeWeight(ageMs: number, halfLifeMs: number): number {
    return 2 ** (-ageMs / halfLifeMs);
}
