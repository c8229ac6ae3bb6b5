package org.lovagethread.node;

import java.util.List;
import org.lovagethread.supplier.settings.SettingKey;
import org.lovagethread.supplier.settings.SettingType;

/** The keys of the settings of a node. */
public final class NodeSettingKeys {
    /** Validity of an address response, in milliseconds. */
    public static final SettingKey ADDRESS_LIFETIME_MS = SettingKey.number(
            "calls",
            "address_lifetime_ms",
            5_000,
            500,
            600_000,
            "Time for which a caller may use the addresses that a node returned.");

    /** Port for callers and operators. */
    public static final SettingKey CALLER_PORT =
            SettingKey.port("node", "caller_port", "Port for callers and operators.");

    /** Name of the cell. */
    public static final SettingKey CELL = SettingKey.required(
            "node",
            "cell",
            SettingType.NAME,
            "Name of the cell, which is the group of nodes that exchange their state with each other.");

    /** Address of the Cloud API. */
    public static final SettingKey CLOUD_API =
            SettingKey.required("platform", "cloud_api", SettingType.HTTP_URI, "Address of the Cloud API.");

    /** Default deadline of a call, in milliseconds after its arrival. */
    public static final SettingKey DEFAULT_DEADLINE_MS = SettingKey.number(
            "calls",
            "default_deadline_ms",
            60_000,
            100,
            3_600_000,
            "Default deadline of a call, measured from its arrival.");

    /** IP address of the node. */
    public static final SettingKey HOST =
            SettingKey.required("node", "host", SettingType.HOST, "IP address that callers and peers use.");

    /** Address of the instance list. */
    public static final SettingKey INSTANCE_LIST =
            SettingKey.required("platform", "instance_list", SettingType.HTTP_URI, "Address of the instance list.");

    /** Maximum size of the body of a call, in bytes. */
    public static final SettingKey MAX_BODY_BYTES = SettingKey.number(
            "calls", "most_body_bytes", 1_048_576, 1_024, 16_777_216, "Maximum size of the body of a call, in bytes.");

    /** Maximum number of calls in flight. */
    public static final SettingKey MAX_OPEN_CALLS = SettingKey.number(
            "calls", "most_open_calls", 4_096, 1, 1_000_000, "Maximum number of calls in flight on the node.");

    /** Name of the node. */
    public static final SettingKey NAME = SettingKey.required("node", "name", SettingType.NAME, "Name of the node.");

    /** Address of the Object API. */
    public static final SettingKey OBJECT_API =
            SettingKey.required("platform", "object_api", SettingType.HTTP_URI, "Address of the Object API.");

    /** File with the key of the operators. */
    public static final SettingKey OPERATOR_KEY_FILE = SettingKey.required(
            "operators", "key_file", SettingType.FILE, "File with the key that operators send to authenticate.");

    /** File with the key shared by all nodes. */
    public static final SettingKey PEER_KEY_FILE =
            SettingKey.required("peers", "key_file", SettingType.FILE, "File with the key shared by all nodes.");

    /** Port for peers. */
    public static final SettingKey PEER_PORT = SettingKey.port("node", "peer_port", "Port for peers.");

    /** Region of the node. */
    public static final SettingKey REGION =
            SettingKey.required("node", "region", SettingType.NAME, "Region of the node.");

    /** Peers to contact when the Object API cannot be reached. */
    public static final SettingKey SEEDS = SettingKey.optional(
            "peers", "seeds", SettingType.ADDRESSES, "", "Peers to contact when the Object API cannot be reached.");

    /** Time from a stop request until open streams are handed over to peers, in milliseconds. */
    public static final SettingKey STOP_GRACE_MS = SettingKey.number(
            "calls",
            "stop_grace_ms",
            30_000,
            0,
            3_600_000,
            "Time from a stop request until open streams are handed over to peers.");

    /** Maximum number of events in a trace. */
    public static final SettingKey MAX_TRACE_EVENTS = SettingKey.number(
            "trace",
            "most_events",
            0,
            0,
            10_000_000,
            "Maximum number of events recorded for a trace since the start; 0 disables the trace.");

    /** Availability zone of the node. */
    public static final SettingKey ZONE =
            SettingKey.required("node", "zone", SettingType.NAME, "Availability zone of the node.");

    private NodeSettingKeys() {}

    /**
     * Returns all keys.
     *
     * @return the keys in the order in which the settings reference lists them
     */
    public static List<SettingKey> all() {
        return List.of(
                NAME,
                CELL,
                REGION,
                ZONE,
                HOST,
                CALLER_PORT,
                PEER_PORT,
                OBJECT_API,
                CLOUD_API,
                INSTANCE_LIST,
                SEEDS,
                PEER_KEY_FILE,
                OPERATOR_KEY_FILE,
                ADDRESS_LIFETIME_MS,
                DEFAULT_DEADLINE_MS,
                MAX_BODY_BYTES,
                MAX_OPEN_CALLS,
                STOP_GRACE_MS,
                MAX_TRACE_EVENTS);
    }
}
