//go:build rosebroken

package rosecaller

// repeatsLostWrites makes a write run again whose answer was lost.
const repeatsLostWrites = true
