// Package rosewire defines the messages that proxies exchange as CBOR over
// WebSocket. The types are generated from wire.json.
package rosewire

//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 -p rosewire --only-models --tags cbor --min-sized-ints --capitalization ID -t -o wire.go wire.json
