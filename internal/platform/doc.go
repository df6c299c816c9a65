// Package platform is the node's side of the platform that starts it. It reads the node's configuration (config.go),
// polls the directory for endpoints (discovery.go), notifies the platform of the results of messages (results.go), and
// exchanges messages with other nodes (peers.go). It decides nothing about messages.
//
// # The platform's words
//
// The platform's forms have words of their own, which stay in these forms. Each is mapped here and in package wire, and
// nowhere else:
//
//	form                     word                    meaning in the code
//	configuration            peer_listen, peers_all  Config.PeerListen, PeerBroadcast
//	                         known                   Config.Known: the endpoint list of an earlier process
//	settings of its          Me                      Config.Index
//	                         MachineTypes            kinds of destinations
//	                         FailureDomains          zones
//	                         the others              see wire.DecodeSettings
//	directory                /v1/servers             list of endpoints, see package directory
//	                         index, wait             revision to watch from, change timeout in milliseconds
//	result notification      its URL                 results of undelivered messages
//	                         given_up                message.Failed
//	                         handed_back             message.Rejected
//	                         retry_in_ms             retry delay
//	message between nodes    note                    policy.NotifyPeers, policy.PeerMessage
//
// # Concurrency
//
// [Discovery], [ResultNotifier] and [Peers] each work in the goroutine of their Run, which ends with its context. Their
// other methods are safe for concurrent use and do not wait for the network, but for [Peers.Send], which may wait for
// the socket's buffer.
//
// Start reading at [LoadConfig] and [Discovery.Run].
package platform
