package ledgearch.model

/** The images on a machine's disk as far as the leader knows, which the machine itself does not report. */
internal class ImageCache(
    /** Size of the disk in gigabytes; the least recently used images are removed when it is too small for all. */
    private val diskGb: Double,
) {
    /** Images that are on the machine or being fetched, with their size in gigabytes, in the order of last use. */
    val sizesGb = LinkedHashMap<String, Double>()

    /** Images that are known to be on the machine because a task that uses them has run there. */
    val fetched = HashSet<String>()

    /** Returns how far [image] is from being on the machine: [PRESENT], [FETCHING] or [ABSENT]. */
    fun distance(image: String): Int =
        when (image) {
            !in sizesGb -> ABSENT
            in fetched -> PRESENT
            else -> FETCHING
        }

    /** Records a use of [image] and removes the least recently used ones as long as the disk is too small for all. */
    fun recordUse(
        image: String,
        gb: Double,
    ) {
        sizesGb.remove(image)
        sizesGb[image] = gb
        var total = sizesGb.values.sum()
        val oldest = sizesGb.entries.iterator()
        while (total > diskGb && sizesGb.size > 1 && oldest.hasNext()) {
            val (name, size) = oldest.next()
            total -= size
            fetched.remove(name)
            oldest.remove()
        }
    }

    /** Forgets all images. */
    fun clear() {
        sizesGb.clear()
        fetched.clear()
    }

    companion object {
        /** The image is on the machine. */
        const val PRESENT = 0

        /** The image is being fetched. */
        const val FETCHING = 1

        /** The image is neither on the machine nor being fetched. */
        const val ABSENT = 2
    }
}
