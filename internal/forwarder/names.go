package forwarder

// Names holds the header names and paths that an entry uses towards callers and backend servers.
type Names struct {
	// Request carries the request's id, in requests and answers.
	Request string
	// TimeLeft carries the milliseconds that the sender will still wait.
	TimeLeft string
	// Prefix lists the parts of a prompt as ID:TOKENS, in order.
	Prefix string
	// Session carries the id that related requests share.
	Session string
	// LastEventID carries the id of the event after which a stream resumes.
	LastEventID string
	// Seal is the backend server's proof that an answer is its own.
	Seal string
	// Organisation carries the organisation that owns the request's key.
	Organisation string
	// ExpectedBackend carries the id of the intended backend server; any other one refuses the request.
	ExpectedBackend string
	// Load carries the numbers of running and waiting requests and of slots.
	Load string
	// Limit carries the requests a second that a backend server in need takes from all entries together.
	Limit string
	// Leaving marks the answers of a backend server that leaves.
	Leaving string
	// NotRun marks an answer whose request did not run and will not run.
	NotRun string
	// Model carries the model that must answer.
	Model string
	// Usage carries the number of prompt tokens and the maximum number of output tokens.
	Usage string
	// LengthHint carries the caller's estimate of the number of output tokens.
	LengthHint string
	// Priority carries the request's priority within a backend server's batch.
	Priority string
	// Confidence carries the model's confidence in its answer, in percent.
	Confidence string
	// Scheme precedes the key in the Authorization header.
	Scheme string
	// ReadyPath and MetricsPath are served on the Ready and Metrics listeners.
	ReadyPath   string
	MetricsPath string
	// Reserved lists the headers that only the router may set; the forwarder drops callers' values.
	Reserved []string
}
