# Reads the output of go test. Exits with 0 if at least one package failed, and each that did was
# ended by the race detector's own crash without a failed test, a data race or a panic.

# A failed check of the detector.
/^ThreadSanitizer: CHECK failed/ { crashed = 1 }

# A signal in code other than Go's, which is the detector's: goroutine 0 has no frame.
/^SIGSEGV: segmentation violation/ { signalled = 1 }
signalled && /^goroutine 0 .*\[idle\]:$/ { idle = NR }
idle && NR == idle + 1 && /^$/ { crashed = 1 }

/^[[:space:]]*--- FAIL:/ || /^WARNING: DATA RACE/ || /^(panic|fatal error|runtime): / || /\[(build|setup) failed\]/ { failed = 1 }

/^(ok|\?)[[:space:]]/ { forget() }
/^FAIL[[:space:]]/ {
	packages++
	if (!crashed || failed) { others++ }
	forget()
}

END { exit !(packages > 0 && others == 0 && !failed) }

function forget() { crashed = failed = signalled = idle = 0 }
