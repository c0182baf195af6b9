/** Exponential decay: the weight of an observation by its age, from 1 down to 0. It halves with each half-life. */
export function halfLifeWeight(ageMs: number, halfLifeMs: number): number {
    return 2 ** (-ageMs / halfLifeMs);
}
