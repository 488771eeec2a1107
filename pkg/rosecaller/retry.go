//go:build !rosebroken

package rosecaller

// retriesUnansweredWrites is true only in builds with the rosebroken tag, which
// break the guarantee that no write runs twice. The consistency checks must
// detect such a build.
const retriesUnansweredWrites = false
