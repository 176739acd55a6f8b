package io.lentilslip.settings.folder;

/**
 * The kinds of sections and the keys of a configuration folder, which the reader and the
 * description share. Stateless and safe for use by several threads.
 */
final class Keys {

	static final String SITE = "site";

	static final String GROUP = "group";

	static final String CALLER = "caller";

	static final String PROGRAM_RULE = "program-rule";

	static final String MODEL = "model";

	static final String SERVICE = "service";

	static final String UPSTREAM = "upstream";

	static final String LIMITS = "limits";

	static final String NAME = "name";

	static final String ZONES = "zones";

	static final String ZONE = "zone";

	static final String SHARE = "share";

	static final String BUDGET_TOKENS = "budget_tokens";

	static final String BUDGET_PERIOD = "budget_period";

	static final String QUEUE_BOUND = "queue_bound";

	static final String KEY_SHA256 = "key_sha256";

	static final String PREFIX = "prefix";

	static final String CLASS = "class";

	static final String CALLERS = "callers";

	static final String CONTEXT_TOKENS = "context_tokens";

	static final String MAXIMUM_OUTPUT_TOKENS = "maximum_output_tokens";

	static final String COST_PREFILLED = "cost_prefilled";

	static final String COST_CACHED = "cost_cached";

	static final String COST_GENERATED = "cost_generated";

	static final String REPEATABLE = "repeatable";

	static final String TIMEOUT = "timeout";

	static final String SIDECAR = "sidecar";

	static final String ADDRESS = "address";

	static final String KIND = "kind";

	static final String KIND_ENGINE = "engine";

	static final String KIND_SERVICE = "service";

	static final String MODELS = "models";

	static final String CHECKS_FENCING_NUMBERS = "checks_fencing_numbers";

	static final String KV_TOKENS = "kv_tokens";

	static final String SERVICES = "services";

	static final String MAXIMUM_CALLS = "maximum_calls";

	static final String BODY_BYTES = "body_bytes";

	static final String HEADER_BYTES = "header_bytes";

	static final String OPEN_STREAMS = "open_streams";

	static final String STREAM_IDLE_TIME = "stream_idle_time";

	static final String PROGRAM_MESSAGES = "program_messages";

	static final String PROGRAM_TURNS = "program_turns";

	static final String PROGRAM_HISTORY_TOKENS = "program_history_tokens";

	static final String PROGRAM_IDLE_TIME = "program_idle_time";

	static final String PROGRAM_LIFETIME = "program_lifetime";

	static final String PROGRAM_CHILDREN = "program_children";

	static final String GROUP_PROGRAMS = "group_programs";

	static final String DEADLINE_STANDARD = "deadline_standard";

	static final String DEADLINE_MAXIMUM = "deadline_maximum";

	static final String QUEUE_CALLS_PER_GROUP = "queue_calls_per_group";

	static final String QUEUE_CALLS = "queue_calls";

	static final String RETRY_PERCENT = "retry_percent";

	static final String CRASHES_BEFORE_STOP = "crashes_before_stop";

	static final String DRAIN_TIME = "drain_time";

	private Keys() {
	}

}
