// Package rosewire holds the messages between proxies. They are generated
// from wire.json and travel as CBOR over WebSocket.
package rosewire

//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 -p rosewire --only-models --tags cbor --min-sized-ints --capitalization ID -t -o wire.go wire.json
