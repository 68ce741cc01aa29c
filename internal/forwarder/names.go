package forwarder

// Names holds what the headers and paths are called that an entry shares with its callers and
// its backend servers.
type Names struct {
	// RequestID carries the request's id, on requests and answers.
	RequestID string
	// TimeLeft carries the milliseconds that the sender will wait.
	TimeLeft string
	// Prefix lists the parts of a prompt as ID:TOKENS, in order.
	Prefix string
	// Session names the requests that belong together.
	Session string
	// LastEventID carries the id after which a stream goes on.
	LastEventID string
	// Seal is the backend server's proof that an answer is its own.
	Seal string
	// Organisation tells the backend server whose key the request carried.
	Organisation string
	// ExpectedBackend names the backend server that is meant; any other one refuses.
	ExpectedBackend string
	// Load reports running and waiting requests and slots.
	Load string
	// NotRun marks an answer to a request that did not and will not run.
	NotRun string
	// Model names the model that is to answer.
	Model string
	// Usage carries the numbers of prompt tokens and of output tokens at most.
	Usage string
	// LengthHint carries the caller's estimate of the number of output tokens.
	LengthHint string
	// Priority is the urgency within a backend server's batch.
	Priority string
	// Confidence is the model's opinion of its answer in percent.
	Confidence string
	// Scheme goes before a key in the Authorization header.
	Scheme string
	// ReadyPath and MetricsPath are served on the listeners of those names.
	ReadyPath   string
	MetricsPath string
	// Reserved lists the headers that only the router sets; callers' values are dropped.
	Reserved []string
}
