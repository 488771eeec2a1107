//go:build !rosebroken

package rosecaller

// repeatsLostWrites is set in builds with a broken promise, which the checks
// must find.
const repeatsLostWrites = false
