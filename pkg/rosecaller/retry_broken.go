//go:build rosebroken

package rosecaller

// repeatsLostWrites retries a write whose answer was lost, so that it may run
// twice.
const repeatsLostWrites = true
