// Package messages defines the JSON-RPC messages between the system's processes.
package messages
